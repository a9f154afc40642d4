"""A loopback proxy that harms what goes through it.

    proxy = Proxy("127.0.0.1:24001")
    proxy.mode = "silent"          # passed on from now: nothing, and no reset
    proxy.bytes_per_second = 100_000  # of each connection, either way
    proxy.links = (Link(40_000), Link(40_000))  # what all connections share, to the target and back
    proxy.reset()                  # all open connections at once
    proxy.go_down(), proxy.come_up()  # new connections are refused
    proxy.without_target = "close"  # what becomes of new connections while the target listens no more

Modes: pass; delay (each piece waits 200 ms); one_way (nothing comes back); silent (nothing goes either way); refuse (new
connections are reset). Without a target, new connections are reset, closed in order (close), or held open without an
answer until the port goes down or up (hold).
"""

import contextlib
import socket
import struct
import threading
import time

DELAY_SECONDS = 0.2
BACKLOG = 256
SLOW_PIECES_PER_SECOND = 20
CLOSING_SECONDS = 1.0
MODES = ("delay", "one_way", "silent", "refuse")
WITHOUT_TARGET = ("reset", "close", "hold")


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
        self.without_target = "reset"
        self.held = []
        self.is_up, self.has_ended = True, False
        self.moving = threading.Lock()
        self.bytes_per_second = None
        self.links = None
        self.pairs = []
        self.lost = set()  # connections that end with a reset
        self.listener = listen_somewhere()
        self.port = self.listener.getsockname()[1]
        self.start()
        self.address = "127.0.0.1:%d" % self.port

    def start(self):
        threading.Thread(target=self.accept, args=(self.listener,), daemon=True).start()

    def go_down(self):
        """Its port refuses connections, as that of a target that has ended does. It stays its own."""
        with self.moving:
            self.is_up = False
            with contextlib.suppress(OSError):
                self.listener.shutdown(socket.SHUT_RDWR)
            self.reset_held()

    def come_up(self):
        with self.moving:
            if not self.is_up and not self.has_ended:
                self.listener.listen(BACKLOG)
                self.start()
            self.is_up = True
            self.reset_held()

    def reset_held(self):
        held, self.held = self.held, []
        for caller in held:
            reset(caller)

    def turn_away(self, caller):
        """What a port does that stays although its target has ended."""
        with self.moving:
            if self.without_target == "hold" and self.is_up:
                self.held.append(caller)
            elif self.without_target == "close":
                threading.Thread(target=close_in_order, args=(caller,), daemon=True).start()
            else:
                reset(caller)

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
                    self.turn_away(caller)
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
        has_lost = False
        try:
            while data := source.recv(self.piece_size()):
                if has_lost or self.mode == "silent" or (is_back and self.mode == "one_way"):
                    has_lost = True
                    self.lost |= {source, sink}  # TCP never delivers bytes or an end after bytes that were lost
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
        with self.moving:
            self.has_ended = True
            self.listener.close()
            self.reset_held()
        self.reset()


def close_in_order(connection):
    """Reads what has come first: the kernel resets a connection that is closed with bytes left to read."""
    with contextlib.suppress(OSError):
        connection.shutdown(socket.SHUT_WR)
        connection.settimeout(CLOSING_SECONDS)
        while connection.recv(65536):
            pass
    connection.close()


def listen_somewhere():
    """Bound to a port by its number: a socket that was bound to any port loses it when it listens no more."""
    while True:
        with socket.create_server(("127.0.0.1", 0)) as found:
            port = found.getsockname()[1]
        with contextlib.suppress(OSError):  # another one has it by now
            return socket.create_server(("127.0.0.1", port), backlog=BACKLOG)


def reset(connection):
    with contextlib.suppress(OSError):
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        connection.shutdown(socket.SHUT_RD)  # wakes a thread that reads, and sends nothing
    connection.close()
