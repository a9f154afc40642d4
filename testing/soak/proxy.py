"""A loopback proxy that harms what goes through it.

    proxy = Proxy("127.0.0.1:24001")
    proxy.mode = "silent"          # passed on from now: nothing, and no reset
    proxy.bytes_per_second = 100_000  # of each connection, either way
    proxy.links = (Link(40_000), Link(40_000))  # what all connections share, to the target and back
    proxy.reset()                  # all open connections at once
    proxy.go_down(), proxy.come_up()  # new connections are refused
    proxy.closes_in_order = True   # new connections while its target refuses them, which it resets otherwise

Modes: pass; delay (each piece waits 200 ms); one_way (nothing comes back); silent (nothing goes either way); refuse (new
connections are reset).
"""

import contextlib
import socket
import struct
import threading
import time

DELAY_SECONDS = 0.2
SLOW_PIECES_PER_SECOND = 20
CLOSING_SECONDS = 1.0
MODES = ("delay", "one_way", "silent", "refuse")


class Link:
    """One direction of a network link: what is sent waits until all before it has passed."""

    def __init__(self, bytes_per_second):
        self.bytes_per_second = bytes_per_second
        self.free_at = 0.0
        self.lock = threading.Lock()

    def carry(self, count):
        with self.lock:
            now = time.monotonic()
            self.free_at = max(now, self.free_at) + count / self.bytes_per_second
            wait = self.free_at - now
        time.sleep(wait)


class Proxy:
    def __init__(self, target):
        host, port = target.split(":")
        self.target = (host, int(port))
        self.mode = "pass"
        self.closes_in_order = False
        self.bytes_per_second = None
        self.links = None
        self.pairs = []
        self.lost = set()  # connections that end with a reset
        self.listen(0)
        self.port = self.listener.getsockname()[1]
        self.address = "127.0.0.1:%d" % self.port

    def listen(self, port):
        self.listener = socket.create_server(("127.0.0.1", port), backlog=256)
        threading.Thread(target=self.accept, args=(self.listener,), daemon=True).start()

    def go_down(self):
        """Its port refuses connections, as that of a target that has ended does."""
        with contextlib.suppress(OSError):
            self.listener.shutdown(socket.SHUT_RDWR)
        self.listener.close()

    def come_up(self):
        self.listen(self.port)

    def accept(self, listener):
        with contextlib.suppress(OSError):
            while True:
                caller, _ = listener.accept()
                if self.mode == "refuse":
                    reset(caller)
                    continue
                try:
                    callee = socket.create_connection(self.target, timeout=5)
                    callee.settimeout(None)
                except OSError:
                    if self.closes_in_order:
                        threading.Thread(target=close_in_order, args=(caller,), daemon=True).start()
                    else:
                        reset(caller)
                    continue
                self.pairs.append((caller, callee))
                threading.Thread(target=self.carry, args=(caller, callee), daemon=True).start()

    def carry(self, caller, callee):
        """Until both directions have ended; then nobody holds the two sockets any more."""
        back = threading.Thread(target=self.pump, args=(callee, caller, True), daemon=True)
        back.start()
        self.pump(caller, callee, False)
        back.join()
        caller.close()
        callee.close()
        self.lost -= {caller, callee}
        with contextlib.suppress(ValueError):  # a reset took it out
            self.pairs.remove((caller, callee))

    def pump(self, source, sink, is_back):
        try:
            while data := source.recv(self.piece_size()):
                if self.mode == "silent" or (is_back and self.mode == "one_way"):
                    self.lost |= {source, sink}  # TCP never delivers an end after bytes that were lost
                    continue
                if self.mode == "delay":
                    time.sleep(DELAY_SECONDS)
                if self.links:
                    self.links[is_back].carry(len(data))
                sink.sendall(data)
                if self.bytes_per_second:
                    time.sleep(len(data) / self.bytes_per_second)
        except OSError:
            self.lost |= {source, sink}
        if source in self.lost:  # an end in order would make a part of an answer look complete
            reset(source)
            reset(sink)
            return
        with contextlib.suppress(OSError):
            sink.shutdown(socket.SHUT_WR)

    def piece_size(self):
        return self.bytes_per_second // SLOW_PIECES_PER_SECOND if self.bytes_per_second else 65536

    def reset(self):
        pairs, self.pairs = self.pairs, []
        for pair in pairs:
            self.lost |= set(pair)
            for end in pair:
                reset(end)

    def end(self):
        self.listener.close()
        self.reset()


def close_in_order(connection):
    """Reads what has come first: the kernel resets a connection that is closed with bytes left to read."""
    with contextlib.suppress(OSError):
        connection.shutdown(socket.SHUT_WR)
        connection.settimeout(CLOSING_SECONDS)
        while connection.recv(65536):
            pass
    connection.close()


def reset(connection):
    with contextlib.suppress(OSError):
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        connection.shutdown(socket.SHUT_RD)  # wakes a thread that reads, and sends nothing
    connection.close()
