"""A path to an endpoint that can be cut: what is on the way in either direction is held up, ends of connections too, and arrives
once the path heals. New connections hang meanwhile."""

import contextlib
import socket
import threading

from harness import free_port


class Path:
    def __init__(self, target_port):
        self.target_port = target_port
        self.port = free_port()
        self.open = threading.Event()
        self.open.set()
        self.listener = socket.socket()
        self.listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.listener.bind(("127.0.0.1", self.port))
        self.listener.listen(64)
        threading.Thread(target=self.accept, daemon=True).start()

    def cut(self):
        self.open.clear()

    def heal(self):
        self.open.set()

    def accept(self):
        with contextlib.suppress(OSError):
            while True:
                near, _ = self.listener.accept()
                threading.Thread(target=self.connect, args=(near,), daemon=True).start()

    def connect(self, near):
        self.open.wait()
        try:
            far = socket.create_connection(("127.0.0.1", self.target_port), 1)
        except OSError:
            near.close()
            return
        for source, sink in ((near, far), (far, near)):
            threading.Thread(target=self.forward, args=(source, sink), daemon=True).start()

    def forward(self, source, sink):
        with contextlib.suppress(OSError):
            while data := source.recv(65536):
                self.open.wait()
                sink.sendall(data)
            self.open.wait()
            sink.shutdown(socket.SHUT_WR)

    def end(self):
        self.heal()
        self.listener.close()
