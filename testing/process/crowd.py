"""Callers that send more than the limits allow, or stop short of the end of a request and stay, in a process of their own.

    crowd = Crowd([gateway.callers], "body by length", callers=60, path="/book/1", body_bytes=4 << 20)
    ... other calls meanwhile ...
    crowd.end()

A caller whose connection ends comes again at once. None reads what it is sent.
"""

import errno
import itertools
import os
import selectors
import socket
import time

from endlessplatform import Child

PIECE = 4096
SEND_BYTES = 1 << 16  # in one turn of a caller
AGAIN_SECONDS = 0.02  # after a connection that was refused
LINE = b"X-Another: " + b"x" * 500 + b"\r\n"
FORMS = {}


def request_head(path, request_id, *lines):
    names = ("Host: shop.example", f"X-Request-Id: {request_id}", "X-Deadline-Ms: 8000", "X-Token-Count: 100,400", "X-Model: m",
             *lines)
    return f"POST {path} HTTP/1.1\r\n".encode() + "".join(f"{line}\r\n" for line in names).encode()


def form(function):
    """Names a way to send: its function yields what a caller sends, for a path, an id and the size of a body."""
    FORMS[function.__name__.replace("_", " ")] = function
    return function


@form
def head_without_end(path, request_id, _bytes):
    yield request_head(path, request_id)
    yield from itertools.repeat(LINE)


@form
def header_without_end(path, request_id, _bytes):
    yield request_head(path, request_id) + b"X-Long: "
    yield from itertools.repeat(b"x" * PIECE)


@form
def head_over_the_limit(path, request_id, _bytes):
    yield request_head(path, request_id) + LINE * 200


@form
def empty_lines(_path, _request_id, _bytes):
    yield from itertools.repeat(b"\r\n" * (PIECE // 2))


@form
def empty_lines_between(path, request_id, _bytes):
    yield request_head(path, request_id, "Content-Length: 1") + b"\r\nx"
    yield from itertools.repeat(b"\r\n" * (PIECE // 2))


@form
def body_by_length(path, request_id, size, *lines):
    yield request_head(path, request_id, f"Content-Length: {size}", *lines) + b"\r\n"
    yield b"x" * (size - 1)


@form
def body_in_pieces(path, request_id, size):
    yield request_head(path, request_id, f"Content-Length: {size}") + b"\r\n"
    yield from itertools.repeat(b"x" * PIECE, size // PIECE - 1)
    yield b"x" * (PIECE - 1)


@form
def body_after_continue(path, request_id, size):
    yield from body_by_length(path, request_id, size, "Expect: 100-continue")


@form
def whole_body(path, request_id, size):
    yield request_head(path, request_id, f"Content-Length: {size}") + b"\r\n" + b"x" * size


@form
def whole_bodies_in_a_row(path, request_id, size):
    yield from itertools.repeat(b"".join(whole_body(path, request_id, size)))


@form
def one_chunk(path, request_id, size):
    yield request_head(path, request_id, "Transfer-Encoding: chunked") + b"\r\n"
    yield f"{size:x}\r\n".encode() + b"x" * (size - 1)


@form
def large_chunks(path, request_id, size):
    yield request_head(path, request_id, "Transfer-Encoding: chunked") + b"\r\n"
    part = size // 8
    yield from itertools.repeat(f"{part:x}\r\n".encode() + b"x" * part + b"\r\n", 8)  # and no last chunk


@form
def tiny_chunks(path, request_id, size):
    yield request_head(path, request_id, "Transfer-Encoding: chunked") + b"\r\n"
    yield from itertools.repeat(b"1\r\nx\r\n" * 1024, size // 1024)


@form
def chunk_line_without_end(path, request_id, _bytes):
    yield request_head(path, request_id, "Transfer-Encoding: chunked") + b"\r\n5;"
    yield from itertools.repeat(b"x" * PIECE)


@form
def trailer_without_end(path, request_id, _bytes):
    yield request_head(path, request_id, "Transfer-Encoding: chunked") + b"\r\n0\r\n"
    yield from itertools.repeat(LINE)


@form
def many_values(path, request_id, size):
    """A body whose values take many times the memory of its text once they are parsed."""
    text = b'{"prompt":[' + b"0," * (size // 2 - 16)
    yield request_head(path, request_id, f"Content-Length: {len(text) + 4}") + b"\r\n" + text + b"0]}\n"


@form
def read_with_a_body(path, request_id, size):
    yield from (part.replace(b"POST", b"GET", 1) for part in body_by_length(path, request_id, size))


@form
def nothing(_path, _request_id, _bytes):
    return iter(())


def websocket_opening(path):
    return (f"GET {path} HTTP/1.1\r\nHost: peer\r\nUpgrade: websocket\r\nConnection: Upgrade\r\n"
            "Sec-WebSocket-Key: dGhlIHNhbXBsZSBub25jZQ==\r\nSec-WebSocket-Version: 13\r\n\r\n").encode()


@form
def websocket_message(_path, _request_id, size):
    """One message, one byte short of its end."""
    yield websocket_opening("/")
    yield bytes([0x82, 0xFF]) + size.to_bytes(8, "big") + b"\0\0\0\0" + b"x" * (size - 1)


@form
def websocket_fragments(_path, _request_id, size):
    """One message in many fragments, the last of which never comes."""
    yield websocket_opening("/")
    for number in range(size // PIECE - 1):
        yield bytes([0x02 if number == 0 else 0x00, 0xFE]) + PIECE.to_bytes(2, "big") + b"\0\0\0\0" + b"x" * PIECE


class Caller:
    def __init__(self, crowd, address, request_id):
        self.crowd, self.request_id = crowd, request_id
        host, port = address.rsplit(":", 1)
        self.to = (host, int(port))
        self.socket, self.parts, self.rest = None, iter(()), memoryview(b"")
        self.begin()

    def begin(self):
        self.socket = socket.socket()
        self.socket.setblocking(False)
        self.parts, self.rest = self.crowd.form(self.crowd.path, self.request_id, self.crowd.body_bytes), memoryview(b"")
        if self.socket.connect_ex(self.to) in (0, errno.EINPROGRESS):
            self.crowd.selector.register(self.socket, selectors.EVENT_WRITE, self)
        else:
            self.end()

    def end(self):
        try:
            self.crowd.selector.unregister(self.socket)
        except KeyError:
            pass
        self.socket.close()
        self.crowd.again.append((time.monotonic() + AGAIN_SECONDS, self))

    def advance(self):
        """Sends what the connection takes. Once all is sent, waits only for its end."""
        try:
            sent = 0
            while sent < SEND_BYTES:
                if not self.rest:
                    part = next(self.parts, None)
                    if part is None:
                        self.crowd.selector.modify(self.socket, selectors.EVENT_READ, self)
                        return
                    self.rest = memoryview(part)
                count = self.socket.send(self.rest[:SEND_BYTES])
                self.rest = self.rest[count:]
                sent += count
        except BlockingIOError:
            pass
        except OSError:
            self.end()

    def look(self):
        """Something came, or the connection has ended. What came stays unread, and is not waited for again."""
        try:
            if self.socket.recv(1, socket.MSG_PEEK):
                self.crowd.selector.unregister(self.socket)
                self.crowd.answered.append(self)
                return
        except BlockingIOError:
            return
        except OSError:
            pass
        self.end()

    def has_ended(self):
        """Of an answered caller, whose connection has bytes to be read."""
        try:
            return self.socket.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, 1) != b"\x01"  # TCP_ESTABLISHED
        except OSError:
            return True


class Callers:
    def __init__(self, addresses, form, callers, path, body_bytes):
        self.selector, self.again, self.answered = selectors.DefaultSelector(), [], []
        self.form, self.path, self.body_bytes = FORMS[form], path, body_bytes
        ids = (f"{number:016x}" for number in itertools.count(os.getpid() << 32))
        for address in itertools.islice(itertools.cycle(addresses), callers):
            Caller(self, address, next(ids))

    def run(self):
        while True:
            for key, events in self.selector.select(AGAIN_SECONDS):
                if events & selectors.EVENT_WRITE:
                    key.data.advance()
                else:
                    key.data.look()
            for caller in [one for one in self.answered if one.has_ended()]:
                self.answered.remove(caller)
                caller.end()
            due = [caller for at, caller in self.again if at <= time.monotonic()]
            self.again = [(at, caller) for at, caller in self.again if caller not in due]
            for caller in due:
                caller.begin()


class Crowd(Child):
    def __init__(self, addresses, form, callers, path="/", body_bytes=1 << 20):
        super().__init__(lambda pipe: Callers(addresses, form, callers, path, body_bytes).run())
