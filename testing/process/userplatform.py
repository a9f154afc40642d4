"""A small stand-in of the users' platform: their store with its tables, their engines and plain endpoints.

    with UserPlatform() as platform:
        booking = platform.endpoint("booking")
        platform.configure(routes=[route("/book/", "unsafe", "booking")])
        booking.behave = "cut"                      # the next answers break off in the middle

It knows nothing of the product's code. Behaviours of an endpoint: ok, error, full, cut, mute, reset (before any byte),
other_id, encoded, extra,
unframed (no length, ends with its connection), unframed_reset (resets the connection in the middle), unframed_stall (stops
in the middle). Of a decode engine also half: it breaks off within the event `breaks_at`; short: it ends the stream in order
before that event, and its report says that it has made one more; half_reset: it resets its connection there; half_first: it breaks off so only streams that it begins; stall: it stops before its third event; empty: it closes
the connection before an event; and lost: it runs and answers nothing. With `is_framed` off, its streams have neither a
length nor chunks and end with their connection. It sends `burst` events at once, and pauses `pause_seconds` after them.

An endpoint crashes under the requests for which `crashes_on(request, body)` is true, once it begins to answer, and at each
crash(): its connections end, its port refuses new ones, and after `down_seconds` it is back as a new incarnation. A prefill
engine crashes under them as it reads their prompts. With `crash_delay` it crashes that much later; with `crash_events`, a
decode engine after so many events; with `ends_in_order`, connections end in order whatever was sent on them; with
`port_seconds`, its port refuses connections only so long after its connections have ended, and until then nobody answers on
new ones. A decode engine that `ignores_last_event` begins each stream anew; one that is `extra` sends a second answer after an unframed stream.

It turns away the kinds of requests in `rests` (plain, hold, prefill, generate) with 503 and asks for `rest_seconds` of rest.
An engine reports that an order is in progress, so that it gets no other one: it can't change its stage. Events bear its
`signature`, at first its name.
With `places`, a plain endpoint serves that many calls at once, each for `serve_seconds`, and turns further ones away.
With `states_leaving`, all its answers say that it leaves. Engines answer GET /report with `report_status`, and state their start
in it unless `states_start` is off; after a stream they answer nothing for `silent_seconds`. `arrivals` has the time and kind of each request. The kinds of
requests in `endless` are answered with bytes that do not end before the caller closes, in one of the ways of ENDLESS or
ENDLESS_EVENTS; `held_seconds` has how long each of these went on. Those in `head_bytes` get so many bytes of the head of an
answer, with `framing` as its last header, and the end of the connection. Those in `raw` get these bytes, with the id of their
request for %s, and the end of the connection; so do all calls of the store with its `raw`. With `early`, an endpoint that gets an upload
answers once it has read a part of it, without a length, and resets the connection.
"""

import base64
import contextlib
import errno
import http.server
import itertools
import json
import os
import re
import socket
import struct
import sys
import threading
import time
import urllib.parse

from standin import free_address

EVENTS = 6
# How an answer without an end begins, and what it goes on with.
ENDLESS = {
    "no answer": (b"", b"bytes of nobody "),
    "head": (b"HTTP/1.1 200 OK\r\nX-Long: ", b"x" * 1024),
    "headers": (b"HTTP/1.1 200 OK\r\n", b"X-Another: " + b"x" * 500 + b"\r\n"),
    "body": (b"HTTP/1.1 200 OK\r\n%s\r\n", b"x" * 16384),
    "error body": (b"HTTP/1.1 500 No\r\n%s\r\n", b"x" * 16384),
    "chunk line": (b"HTTP/1.1 200 OK\r\n%sTransfer-Encoding: chunked\r\n\r\n5;", b"x" * 16384),
    "trailer": (b"HTTP/1.1 200 OK\r\n%sTransfer-Encoding: chunked\r\n\r\n0\r\n", b"X-Another: " + b"x" * 500 + b"\r\n"),
    "event": (b"HTTP/1.1 200 OK\r\n%sContent-Type: text/event-stream\r\n\r\ndata: ", b"x" * 16384),
}
# The same with bytes that look like the events of a stream.
ENDLESS_EVENTS = {
    "events": (b"HTTP/1.1 200 OK\r\n%sContent-Type: text/event-stream\r\n\r\nid: 1\ndata: x\n\n", b"data: x\n\n" * 2048),
    "chunks": (b"HTTP/1.1 200 OK\r\n%sTransfer-Encoding: chunked\r\n\r\n", b"4000\r\n" + b"data: x\n\n\n" * 1638 + b"1234\r\n"),
    "text": (b"HTTP/1.1 200 OK\r\n%sContent-Type: text/event-stream\r\n\r\nid: 1\ndata: x\n\n", b"bytes of nobody\n\n" * 2048),
    "comments": (b"HTTP/1.1 200 OK\r\n%sContent-Type: text/event-stream\r\n\r\nid: 1\ndata: x\n\n", b": still here\n\n" * 2048),
    "rising": (b"HTTP/1.1 200 OK\r\n%sContent-Type: text/event-stream\r\n\r\nid: 1\ndata: x\n\n",
               lambda block: b"".join(b"id: %d\ndata: %s\n\n" % (block * 32 + number, b"x" * 500) for number in range(2, 34))),
}
# The same with bytes that look like rows of the store; "pages" are answers with an end, each of which names a further one.
ENDLESS_ROWS = {
    "rows": (b"HTTP/1.1 200 OK\r\n\r\n{\"ver\": 9, \"rows\": [{}", b",{}" * 4096),
    "lists": (b"HTTP/1.1 200 OK\r\n\r\n", b"[" * 16384),
}
PAGE_ROWS = 500
ENDLESS_ANSWERS = {**ENDLESS, **ENDLESS_EVENTS}
SLOW_SECONDS = 0.6  # of an answer, longer than the target of a route
STALL_SECONDS = 3
ENDLESS_SECONDS = 20  # longer than any call waits
LONG_UPLOAD = 1 << 20  # bytes
EARLY_PART = b"id: 1\ndata: a part\n\n"  # of a plain answer, or a whole event of a stream


def events_in(body):
    """The number and the writer's name of each whole event."""
    return [(int(number), name.decode()) for number, name in re.findall(rb"id: (\d+)\ndata: ([^\n]+)\n\n", body)]


def route(prefix, kind, service, **other):
    return {"name": "r-" + prefix.strip("/"), "host": "shop.example", "prefix": prefix, "kind": kind, "service": service,
            "timeout_ms": 4000, "target_latency_ms": 500, "priority": 1, "max_attempts": 1, "gap_target_ms": 300, **other}


def workspace(name, *keys, **other):
    return {"name": name, "api_keys": list(keys), **other}


class Store:
    """Tables of rows with one version counter, a feed that waits, and conditional writes."""

    def __init__(self):
        self.rows = {}
        self.version = 1
        self.changed = threading.Condition()
        self.is_down = False
        self.history_from = 0

    def put(self, table, key, value):
        with self.changed:
            self.version += 1
            self.rows[table, key] = (value, self.version)
            self.changed.notify_all()

    def get(self, table, key):
        return self.rows.get((table, key), (None, 0))

    def forget_history(self):
        with self.changed:
            self.history_from = self.version + 1

    def listing(self, table, after=-1, start="", end="\U0010ffff"):
        rows = []
        for (name, key), (value, version) in sorted(self.rows.items()):
            if name == table and version > after and start <= key < end:
                row = {"table": table, "part": "", "key": key, "ver": version}
                row.update({"deleted": True} if value is None else {"value": base64.b64encode(value).decode()})
                if value is not None or after >= 0:
                    rows.append(row)
        return rows

    def answer(self, method, path, query, body):
        if self.is_down:
            return 503, {}
        if path == "/rows-get":
            with self.changed:
                rows = self.listing(query["table"], -1, query.get("from", ""), query.get("to", "\U0010ffff"))
                return 200, {"rows": rows, "ver": self.version, "now_ms": 1, "truncated": False}
        if path == "/rows-feed":
            return self.feed(query["table"], int(query["after"]), int(query["wait_ms"]) / 1000)
        if path == "/rows-tx":
            return self.transact(json.loads(body))
        return 404, {}

    def feed(self, table, after, seconds):
        with self.changed:
            if after < self.history_from:
                return 410, {}
            self.changed.wait_for(lambda: self.listing(table, after) or self.is_down, seconds)
            return (503, {}) if self.is_down else (200, {"rows": self.listing(table, after), "ver": self.version, "now_ms": 1})

    def transact(self, body):
        with self.changed:
            for row in body["expected"]:
                if self.get(row["table"], row["key"])[1] != row["ver"]:
                    return 412, {"rows": [], "ver": self.version, "now_ms": 1}
            for row in body["set_keys"]:
                self.put(row["table"], row["key"], base64.b64decode(row["value"]))
            return 200, {"ver": self.version, "now_ms": 1}


class Handler(http.server.BaseHTTPRequestHandler):
    protocol_version = "HTTP/1.1"
    more_headers = {}  # of the answers to this connection

    def log_message(self, *_):
        pass

    def handle_any(self):
        length = int(self.headers.get("Content-Length", 0))
        with contextlib.suppress(ConnectionError):
            if not self.server.owner.answers_early(self, length):
                self.server.owner.handle(self, self.rfile.read(length))

    do_GET = do_POST = do_PUT = do_DELETE = handle_any

    def reply(self, status, body, headers=None, length=None):
        data = body if isinstance(body, bytes) else json.dumps(body).encode()
        self.send_response_only(status)
        for name, value in {**(headers or {}), **self.more_headers}.items():
            self.send_header(name, value)
        if length != "none":
            self.send_header("Content-Length", str(len(data) if length is None else length))
        self.end_headers()
        self.wfile.write(data)


def reset(request):
    """Resets the connection, also where the other side has bytes left to read."""
    request.connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    os.close(request.connection.detach())
    request.close_connection = True


def send_raw(request, answer):
    request.close_connection = True
    request.wfile.write(answer.replace(b"%s", request.headers.get("X-Request-Id", "").encode()))


def send_without_end(request, begin, more):
    request.close_connection = True
    headers = b"X-Request-Id: %s\r\n" % request.headers.get("X-Request-Id", "").encode()
    request.wfile.write(begin.replace(b"%s", headers))
    end = time.monotonic() + ENDLESS_SECONDS
    for block in itertools.count():
        if time.monotonic() > end:
            break
        request.wfile.write(more(block) if callable(more) else more)


def page_of_many(query):
    """Rows from the key on that was asked for, older than any other, and that there are more."""
    first = int(re.sub(r"\D", "", query.get("from", "")) or 0)
    value = base64.b64encode(b"x" * 1500).decode()
    rows = [{"table": query.get("table", ""), "part": "", "key": f"k{number:012}", "ver": 1, "value": value}
            for number in range(first + 1, first + 1 + PAGE_ROWS)]
    return {"rows": rows, "ver": 1, "now_ms": 1, "truncated": True}


class QuietServer(http.server.ThreadingHTTPServer):
    daemon_threads = True
    request_queue_size = 256
    allow_reuse_address = True

    def __init__(self, *arguments):
        self.connections = set()
        super().__init__(*arguments)

    def process_request(self, request, client_address):
        self.connections.add(request)
        super().process_request(request, client_address)

    def shutdown_request(self, request):
        self.connections.discard(request)
        super().shutdown_request(request)

    def crash(self, resets, port_seconds=0.0):
        """Ends as a process does: the port refuses connections at once or later, and open ones end in order or are reset."""
        open_connections = list(self.connections)
        if port_seconds == 0:
            self.refuse()
        for connection in open_connections:
            with contextlib.suppress(OSError):
                if resets:
                    connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
                    connection.shutdown(socket.SHUT_RD)
                    os.close(connection.detach())
                else:
                    connection.shutdown(socket.SHUT_RDWR)
        time.sleep(port_seconds)
        self.refuse()
        self.shutdown()
        self.server_close()

    def refuse(self):
        with contextlib.suppress(OSError):
            self.socket.shutdown(socket.SHUT_RDWR)

    def handle_error(self, request, client_address):
        error = sys.exc_info()[1]
        is_closed = isinstance(error, OSError) and error.errno == errno.EBADF  # by crash()
        if not isinstance(error, ConnectionError) and not is_closed:  # callers may go at any time
            super().handle_error(request, client_address)


class Server:
    def __init__(self):
        self.address = free_address()  # no connection takes its port while the server is down
        self.port = int(self.address.split(":")[1])
        self.listen(self.port)

    def listen(self, port):
        self.http = QuietServer(("127.0.0.1", port), Handler)
        self.http.owner = self
        threading.Thread(target=self.http.serve_forever, kwargs={"poll_interval": 0.02}, daemon=True).start()

    def answers_early(self, request, length):  # pylint: disable=unused-argument
        return False

    def end(self):
        self.http.shutdown()
        self.http.server_close()


class StoreServer(Server):
    """The store on its port. Connections that are open may fall silent; answers to writes may be lost."""

    def __init__(self):
        self.store = Store()
        self.connections = set()
        self.silent = set()
        self.ended = threading.Event()
        self.lost_answers = 0  # of the next writes: done, and the connection closed without a word
        self.configs_sent = 0  # whole configurations
        self.calls = []  # path and table of each
        self.endless = None  # the way, of ENDLESS or ENDLESS_ROWS, in which it answers without an end
        self.raw = None  # begins each answer, in place of its head
        super().__init__()

    def silence_open_connections(self):
        """Nothing more comes on them, and no reset; new ones work."""
        self.silent |= set(self.connections)

    def end(self):
        self.ended.set()
        super().end()

    def handle(self, request, body):
        url = urllib.parse.urlsplit(request.path)
        query = dict(urllib.parse.parse_qsl(url.query, keep_blank_values=True))
        self.connections.add(request.client_address)
        self.calls.append((url.path, query.get("table", "")))
        answer = self.store.answer(request.command, url.path, query, body)
        self.configs_sent += any(row["key"] == "config" for row in answer[1].get("rows", ()))
        if request.client_address in self.silent:
            self.ended.wait()
        elif self.endless == "pages":
            request.reply(*((410, {}) if url.path == "/rows-feed" else (200, page_of_many(query))))
        elif self.endless:
            send_without_end(request, *{**ENDLESS, **ENDLESS_ROWS}[self.endless])
        elif self.raw:
            send_raw(request, self.raw + json.dumps(answer[1]).encode())
        elif url.path == "/rows-tx" and self.lost_answers > 0:
            self.lost_answers -= 1
            request.close_connection = True
        else:
            request.reply(*answer)


class Endpoint(Server):
    """A plain endpoint or an engine; `seen` has what it ran, `asked` all that reached it."""

    def __init__(self, name, stage=None, version="v1"):
        self.name = name
        self.stage = stage
        self.version = version  # of its software
        self.signature = name  # of the events that it writes
        self.behave = "ok"
        self.limit = None  # the requests a second that its answers name
        self.is_framed = True
        self.events, self.breaks_at = EVENTS, 3
        self.burst, self.pause_seconds = 1, 0.02
        self.seen, self.asked, self.released = [], [], []
        self.arrivals = []
        self.rests, self.rest_seconds = frozenset(), 2.0
        self.states_leaving = False
        self.places, self.serve_seconds, self.turned_away = None, 0.0, []  # a semaphore of the calls served at once
        self.endless = {}  # the way, by the kind of request
        self.head_bytes = {}  # by the kind of request
        self.framing = ""  # a header of that answer, or none
        self.raw = {}  # by the kind of request
        self.early = None  # the share of an upload that is read, and the seconds from the answer to the reset
        self.reservations = 0
        self.on_half = lambda: None  # called when it broke off
        self.crashes_on = lambda request, body: False
        self.crashes = 0
        self.down_seconds = 1.0
        self.crash_delay = 0.0
        self.crash_events = 0
        self.ends_in_order = False
        self.port_seconds = 0.0
        self.is_exiting = False
        self.born = 1  # of the current start, as its row says
        self.runs = {}  # the events made of each stream that it runs
        self.report_status, self.states_start = 200, True
        self.silent_seconds, self.silent_until = 0.0, 0.0
        self.ignores_last_event = False
        self.held_seconds = []
        self.crashing = threading.Lock()
        self.on_crash, self.on_back = [], []  # called when its port refuses connections, and when it listens again
        super().__init__()

    def crash(self):
        """At once; it comes back by itself."""
        if self.crashing.acquire(blocking=False):
            self.crashes += 1
            for called in self.on_crash:
                called()
            # Answers without framing are reset, unless they are to look whole but for the end of their endpoint.
            self.is_exiting = self.port_seconds > 0
            self.http.crash(not self.ends_in_order and (self.stage is None or not self.is_framed), self.port_seconds)
            self.is_exiting = False
            threading.Thread(target=self.come_back, daemon=True).start()

    def crash_under(self, request):
        time.sleep(self.crash_delay)
        self.crash()
        request.close_connection = True

    def come_back(self):
        time.sleep(self.down_seconds)
        self.born = 1 + self.crashes
        self.runs.clear()
        self.listen(self.port)
        self.crashing.release()
        for called in self.on_back:
            called()

    def kind_of(self, request):
        if request.path == "/hold-take":
            return "hold"
        if request.path.startswith(("/hold-drop/", "/kv-handle/")):
            return "release"
        if self.is_report(request):
            return "report"
        if request.headers.get("X-Stage") == "prefill":
            return "prefill"
        return "generate" if self.stage == "decode" else "plain"

    def is_report(self, request):
        return self.stage is not None and request.command == "GET" and request.path == "/report"

    def report(self, request):
        if self.report_status != 200:
            request.reply(self.report_status, {}, {"X-Not-Executed": "1"})
            return
        runs = [[run, 100, events, 5] for run, events in list(self.runs.items())]
        request.reply(200, {"stage": self.stage, "models": [{"name": "m", "version": 1, "adapters": []}], "busy": True,
                            "sequence": 1, "queued": 0, "running": len(runs), "kv_used": 0, "kv_total": 60000,
                            "kv_handles": 0, "runs": runs, **({"born": self.born} if self.states_start else {})},
                      {"Content-Type": "application/json"})

    def answers_early(self, request, length):
        if self.early is None or length < LONG_UPLOAD:
            return False
        share, seconds = self.early
        request.rfile.read(int(length * share))
        self.asked.append((request.command, request.path))
        request.wfile.write(self.head(request.headers.get("X-Request-Id")) + EARLY_PART)
        time.sleep(seconds)
        reset(request)
        return True

    def handle(self, request, body):
        if self.is_exiting:
            while self.is_exiting:
                time.sleep(0.01)
            reset(request)
            return
        time.sleep(max(0.0, self.silent_until - time.monotonic()))
        self.asked.append((request.command, request.path))
        self.arrivals.append((time.monotonic(), self.kind_of(request)))
        if self.states_leaving:
            request.more_headers = {"Server-Leaving": "1"}
        expected = request.headers.get("X-Expect-Instance")
        if expected not in (None, self.name):
            request.reply(421, {}, {"X-Instance-Id": self.name})
        elif self.kind_of(request) in self.endless:
            begin = time.monotonic()
            try:
                send_without_end(request, *ENDLESS_ANSWERS[self.endless[self.kind_of(request)]])
            finally:
                self.held_seconds.append(time.monotonic() - begin)
        elif self.kind_of(request) in self.head_bytes:
            self.send_part_of_head(request, self.head_bytes[self.kind_of(request)])
        elif self.kind_of(request) in self.raw:
            self.note(request, body)
            send_raw(request, self.raw[self.kind_of(request)])
        elif self.kind_of(request) in self.rests:
            request.reply(503, {}, {"X-Not-Executed": "1", "Retry-After": str(self.rest_seconds),
                                    "X-Request-Id": request.headers.get("X-Request-Id", "")})
        elif self.is_report(request):
            self.report(request)
        elif request.path == "/hold-take":
            self.reservations += 1
            full = self.behave == "full"
            request.reply(503 if full else 200, {} if full else {"hold": f"h{self.reservations}"})
        elif request.path.startswith(("/hold-drop/", "/kv-handle/")):
            self.released.append(request.path)
            request.reply(200, {})
        elif request.headers.get("X-Stage") == "prefill":
            if self.crashes_on(request, body):
                self.crash_under(request)
            else:
                request.reply(200, {"handle": "k1", "tokens": 10, "version": 1},
                              {"X-Request-Id": request.headers.get("X-Request-Id", "")})
        elif self.stage == "decode":
            run = request.headers.get("X-Request-Id")
            self.runs[run] = 0
            self.generate(request, body)
            self.silent_until = time.monotonic() + self.silent_seconds
            if self.behave != "short":
                self.runs.pop(run, None)
        else:
            self.answer(request, body)

    def head(self, request_id):
        headers = f"X-Request-Id: {request_id}\r\nContent-Type: text/event-stream\r\n{self.framing}"
        return f"HTTP/1.1 200 OK\r\n{headers}\r\n".encode()

    def send_part_of_head(self, request, count):
        request.close_connection = True
        request.wfile.write(self.head(request.headers.get("X-Request-Id"))[:count])

    def note(self, request, body):
        self.seen.append({"id": request.headers.get("X-Request-Id"), "path": request.path, "body": body,
                          "method": request.command, "headers": dict(request.headers), "at": time.time()})
        limit = {} if self.limit is None else {"Server-Limit": str(self.limit)}
        return {"X-Request-Id": request.headers.get("X-Request-Id"), "X-Server-Stamp": f"{self.name}.{len(self.seen)}",
                **limit}

    def answer(self, request, body):
        if self.behave == "full":
            request.reply(503, {}, {"X-Not-Executed": "1"})
            return
        if self.places is not None:
            if not self.places.acquire(blocking=False):
                self.turned_away.append(time.monotonic())
                request.reply(503, {}, {"X-Not-Executed": "1"})
                return
            time.sleep(self.serve_seconds)
            self.places.release()
        headers = self.note(request, body)
        if self.behave == "reset":
            reset(request)
            return
        text = b"answer of " + self.name.encode()
        if self.crashes_on(request, body):
            if self.ends_in_order:
                request.reply(200, text[:5], headers, length="none")
            self.crash_under(request)
        elif self.behave == "mute":
            time.sleep(30)
        elif self.behave == "slow":
            time.sleep(SLOW_SECONDS)
            request.reply(200, text, headers)
        elif self.behave == "cut":
            request.reply(200, text[:5], headers, length=len(text))
            request.close_connection = True
        elif self.behave == "error":
            request.reply(500, b"no", headers)
        elif self.behave == "other_id":
            request.reply(200, text, {**headers, "X-Request-Id": "another"})
        elif self.behave == "encoded":
            request.reply(200, text, {**headers, "Content-Encoding": "gzip"})
        elif self.behave == "unframed":
            request.reply(200, text, headers, length="none")
            request.close_connection = True
        elif self.behave in ("unframed_reset", "unframed_stall"):
            request.reply(200, text[:5], headers, length="none")
            time.sleep(STALL_SECONDS if self.behave == "unframed_stall" else 0.02)
            reset(request)
        else:
            request.reply(200, text, headers)
            if self.behave == "extra":
                request.reply(200, b"bytes of nobody", headers)

    def generate(self, request, body):
        headers = {**self.note(request, body), "Content-Type": "text/event-stream"}
        is_framed = self.is_framed
        if is_framed:
            headers["Transfer-Encoding"] = "chunked"
        if self.behave == "lost":
            request.close_connection = True
            self.on_half()
            return
        first = 1 if self.ignores_last_event else int(request.headers.get("Last-Event-Id", 0)) + 1
        request.send_response_only(200)
        for name, value in {**headers, **request.more_headers}.items():
            request.send_header(name, value)
        request.end_headers()
        is_deadly = self.crashes_on(request, body)
        pending = b""
        for number in range(first, self.events + 1):
            if is_deadly and number - first >= self.crash_events:
                self.crash_under(request)
                return
            event = f"id: {number}\ndata: {self.signature}\n\n".encode()
            behave = self.behave
            if behave == "empty" and number == first:
                request.close_connection = True
                return
            if behave == "short" and number == self.breaks_at:
                self.runs[request.headers.get("X-Request-Id")] = number - first + 1
                request.close_connection = True
                return
            if behave == "stall" and number == 3:
                self.on_half()
                time.sleep(STALL_SECONDS)
            breaks_off = number == self.breaks_at and (behave in ("half", "half_reset") or (behave == "half_first" and first == 1))
            if breaks_off:
                event = event[:7]
            pending += b"%x\r\n%s\r\n" % (len(event), event) if is_framed else event
            if not breaks_off and number < self.events and (number - first + 1) % self.burst != 0:
                continue
            request.wfile.write(pending)
            request.wfile.flush()
            pending = b""
            self.runs[request.headers.get("X-Request-Id")] = number - first + 1
            if breaks_off:
                if behave == "half_reset":
                    time.sleep(0.02)
                    reset(request)
                request.close_connection = True
                self.on_half()
                return
            time.sleep(self.pause_seconds)
        if is_framed:
            request.wfile.write(b"0\r\n\r\n")
        elif self.behave == "extra":
            request.wfile.write(self.head(request.headers.get("X-Request-Id")) + f"id: 1\ndata: {self.signature}\n\n".encode())
        request.close_connection = not is_framed


class UserPlatform:
    def __init__(self):
        self.server = StoreServer()
        self.store = self.server.store
        self.endpoints = []
        self.version = 0
        self.services = set()

    def __enter__(self):
        return self

    def __exit__(self, *_):
        for endpoint in self.endpoints:
            endpoint.end()
        self.server.end()

    @property
    def address(self):
        return self.server.address

    @property
    def configs_sent(self):
        return self.server.configs_sent

    def silence_open_connections(self):
        self.server.silence_open_connections()

    def lose_answers(self, count):
        self.server.lost_answers = count

    def endpoint(self, service, stage=None, version="v1"):
        made = Endpoint(f"i-{len(self.endpoints)}", stage, version)
        made.service = service
        made.on_back.append(lambda: self.register(made))
        self.endpoints.append(made)
        self.services.add((service, stage is not None))
        self.register(made)
        return made

    def register(self, endpoint, state="ready", **other):
        row = {"service": endpoint.service, "address": endpoint.address, "zone": "a", "version": endpoint.version,
               "slots": 6, "state": state, "cold_remaining_ms": 0, "sequence": 1, "born": endpoint.born, **other}
        endpoint.born = row["born"]
        if endpoint.stage:
            row["stage"] = endpoint.stage
        self.store.put("servers", endpoint.name, json.dumps(row).encode())

    def remove(self, endpoint):
        self.store.put("servers", endpoint.name, None)

    def configure(self, routes, workspaces=None, slots=6, limits=None):
        """`workspaces`: of workspace(); without them callers need no key. `slots`: of an engine. `limits`: of callers, in place of
        the ordinary ones."""
        self.version += 3
        engine = {"slots": slots, "kv_capacity_tokens": 60000, "kv_hold_s": 0.5, "hold_ms": 2000.0, "stride": 50}
        services = [{"name": name, "health_path": "/health", "max_connections": 96, **({"engine": engine} if engines else {})}
                    for name, engines in sorted(self.services)]
        config = {"version": self.version, "routes": routes, "services": services,
                  "limits": {"max_header_bytes": 16384, "max_body_bytes": 65536, "header_timeout_ms": 3000,
                             "idle_timeout_ms": 15000, **(limits or {})}}
        if workspaces is not None:
            config["tenants"] = workspaces
        self.store.put("op", "config", json.dumps(config).encode())
        return self.version
