"""Stands before an engine of our own hosts and passes requests on, but for those that a test wants answered otherwise.

    front = EngineFront(engine.address)
    front.endless = {"/v1/prefill": "body"}  # paths whose requests are answered without an end, and the way of ENDLESS
    front.heads = {"/v1/decode": b"HTTP/1.1 200 OK\r\n..."}  # paths whose answers get this head in place of their own
    front.cuts_streams = True                # soon after they have begun
    front.crashes_on = lambda path, body: b"deadly" in body  # its port refuses connections then, for DOWN_SECONDS
"""

import contextlib
import http.client
import threading

from userplatform import ENDLESS_ANSWERS, Server, send_without_end

CUT_BYTES = 400
DOWN_SECONDS = 1.0


class EngineFront(Server):
    def __init__(self, engine):
        self.engine = engine
        self.endless = {}
        self.heads = {}
        self.cuts_streams = False
        self.crashes_on = lambda path, body: False
        self.crashes = 0
        super().__init__()

    def handle(self, request, body):
        way = next((way for path, way in self.endless.items() if request.path.startswith(path)), None)
        if self.crashes_on(request.path, body):
            self.crashes += 1
            self.http.crash(resets=True)
            threading.Timer(DOWN_SECONDS, lambda: self.listen(self.port)).start()
        elif way:
            send_without_end(request, *ENDLESS_ANSWERS[way])
        else:
            self.forward(request, body)

    def forward(self, request, body):
        connection = http.client.HTTPConnection(self.engine, timeout=20)
        with contextlib.closing(connection):
            connection.request(request.command, request.path, body, {"Content-Type": "application/json"})
            answer = connection.getresponse()
            head = next((head for path, head in self.heads.items() if request.path.startswith(path)), None)
            if head:
                request.wfile.write(head)
            else:
                request.send_response_only(answer.status)
                request.send_header("Connection", "close")
                request.end_headers()
            request.close_connection = True
            sent = 0
            while data := answer.read1():
                request.wfile.write(data)
                sent += len(data)
                if self.cuts_streams and request.path.startswith("/v1/decode") and sent > CUT_BYTES:
                    return
