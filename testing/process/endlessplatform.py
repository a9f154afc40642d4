"""Endpoints that answer without an end and the callers that meet them, in processes of their own.

    endpoints = EndlessEndpoints(["e-1", "e-2"], stage="decode")
    endpoints.set([{"hold": "body"}, {"generate": "events"}])  # what each of them answers, by the kind of request
    callers = Callers(gateway.callers, "/book/1", 300, deadline_ms=2000)
    ... meanwhile other calls ...
    for status, took in callers.answers(): ...

The test's own process then serves and times other calls without delay.
"""

import contextlib
import http.client
import itertools
import multiprocessing
import os
import socket
import threading
import time

from gatewayprocess import SIZE, send
from userplatform import Endpoint

LONGEST_SECONDS = 10  # of a call that is not answered
process_kind = multiprocessing.get_context("fork")


def call_once(address, path, deadline_ms, body=b"x"):
    """The status, 0 where the answer breaks off, and the seconds that it took. What arrives is not kept."""
    begin = time.monotonic()
    status = 0
    with contextlib.suppress(OSError, http.client.HTTPException, ValueError):
        status = send(address, "GET" if path.startswith("/look/") else "POST", path, body, keeps_body=False,
                      X_Deadline_Ms=deadline_ms, **SIZE)[0]
    return status, time.monotonic() - begin


def request_text(path, request_id, deadline_ms, **more):
    """A request for the last answer on its connection. Names of headers are written with _ for -."""
    headers = {"Host": "shop.example", "X-Request-Id": request_id, "X-Deadline-Ms": deadline_ms, "Content-Length": 1,
               "Connection": "close", **{name.replace("_", "-"): value for name, value in {**SIZE, **more}.items()}}
    lines = "".join(f"{name}: {value}\r\n" for name, value in headers.items())
    method = "GET" if path.startswith("/look/") else "POST"
    return f"{method} {path} HTTP/1.1\r\n{lines}\r\nx".encode()


class Child:
    """A process that does `work` with one end of a pipe; `pipe` is the other one."""

    def __init__(self, work, *arguments):
        self.pipe, end = process_kind.Pipe()
        self.process = process_kind.Process(target=work, args=(end, *arguments), daemon=True)
        self.process.start()

    def end(self):
        self.process.terminate()
        self.process.join()


class CallsAtOnce(Child):
    """So many calls at once, each of call(request_id)."""

    def __init__(self, call, count):
        super().__init__(self.make, call, count)

    @staticmethod
    def make(pipe, call, count):
        ids = (f"{number:016x}" for number in itertools.count(os.getpid() << 32))
        answers = []
        threads = [threading.Thread(target=lambda: answers.append(call(next(ids)))) for _ in range(count)]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        pipe.send(answers)

    def answers(self):
        answers = self.pipe.recv()
        self.process.join()
        return answers


class EndlessEndpoints(Child):
    def __init__(self, names, stage=None):
        super().__init__(self.serve, names, stage)
        self.addresses = self.pipe.recv()

    @staticmethod
    def serve(pipe, names, stage):
        endpoints = [Endpoint(name, stage) for name in names]
        pipe.send([endpoint.address for endpoint in endpoints])
        while True:
            ways = pipe.recv()
            for endpoint, way in zip(endpoints, ways):
                endpoint.endless = way
            pipe.send([max(endpoint.held_seconds, default=0) for endpoint in endpoints])
            for endpoint in endpoints:
                endpoint.held_seconds = []

    def set(self, ways):
        """The way of each endpoint, by the kind of request. Returns for how long each of them sent, at the longest, before."""
        self.pipe.send(ways)
        return self.pipe.recv()


class Callers(CallsAtOnce):
    def __init__(self, address, path, count, deadline_ms):
        super().__init__(lambda request_id: self.drain(address, path, request_id, deadline_ms), count)

    @staticmethod
    def drain(address, path, request_id, deadline_ms):
        """The status of one call, 0 for none, and the seconds until its connection ended."""
        host, port = address.split(":")
        text = request_text(path, request_id, deadline_ms)
        begin = time.monotonic()
        answer = b""
        with contextlib.suppress(OSError), socket.create_connection((host, int(port)), timeout=LONGEST_SECONDS) as connection:
            connection.sendall(text)
            buffer = bytearray(1 << 18)
            while count := connection.recv_into(buffer):
                answer = answer or bytes(buffer[:min(count, 12)])
        return int(answer[9:12] or 0), time.monotonic() - begin
