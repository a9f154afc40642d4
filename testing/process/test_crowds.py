"""Crowds of callers that hold what they have sent: heads, empty lines and bodies without their end, at each port of a gateway."""

import re
import threading
import unittest

from crowd import Crowd
from crowdtest import CrowdChecks, Limits
from gatewayprocess import SIZE, send
from platformtest import PlatformTest
from standin import wait_until
from userplatform import route

ROUTES = [route("/book/", "unsafe", "booking"), route("/slow/", "unsafe", "slow", timeout_ms=8000),
          route("/write/", "stream", "llm")]
BODY_BYTES = 4 << 20  # the largest that the configuration allows
CALLERS = 60
SLOW_SECONDS = 2
REQUEST_PART = 5  # requests take a fifth of the memory


class CrowdTest(CrowdChecks, PlatformTest):
    limits = Limits(memory_mb=64, max_files=400)  # of the host, as its settings state

    def setUp(self):
        super().setUp()
        self.platform.endpoint("booking")
        slow = self.platform.endpoint("slow")
        slow.places, slow.serve_seconds = threading.Semaphore(1000), SLOW_SECONDS
        self.platform.endpoint("llm", "prefill")
        self.platform.endpoint("llm", "decode")
        self.platform.configure(ROUTES, limits={"max_body_bytes": BODY_BYTES})
        self.gateway = self.start(more=f"[limits]\nmemory_mb = {self.limits.memory_mb}\n"
                                       f"max_files = {self.limits.max_files}\n")

    def is_served(self, body=b"x"):
        return send(self.gateway.callers, "POST", "/book/1", body, **SIZE)[0] == 200

    def check(self, form, address=None, path="/book/1", callers=CALLERS, body_bytes=BODY_BYTES):
        gateway = self.gateway
        self.check_crowd(gateway, [gateway.callers, gateway.ready, gateway.peers, gateway.tunnels],
                         lambda: Crowd([address or gateway.callers], form, callers, path, body_bytes), self.limits,
                         self.is_served, [lambda: self.is_served(b"x" * BODY_BYTES)])


class CrowdsTest(CrowdTest):
    # Each guards against a host whose memory or descriptors such callers use up.
    def test_heads_without_end(self):
        self.check("head without end")

    def test_headers_without_end(self):
        self.check("header without end")

    def test_heads_over_the_limit(self):
        self.check("head over the limit")

    def test_empty_lines_before_a_request(self):
        self.check("empty lines")

    def test_empty_lines_between_requests(self):
        self.check("empty lines between")

    def test_bodies_by_length(self):
        self.check("body by length")

    def test_bodies_in_pieces(self):
        self.check("body in pieces")

    def test_bodies_after_100_continue(self):
        self.check("body after continue")

    def test_whole_bodies(self):
        self.check("whole body", path="/slow/1")

    def test_whole_bodies_in_a_row(self):
        self.check("whole bodies in a row", path="/slow/1", body_bytes=BODY_BYTES // 8)

    def test_prompts_of_generations(self):
        self.check("body by length", path="/write/1")

    def test_whole_prompts_of_generations(self):
        self.check("whole body", path="/write/1")

    def test_one_chunk(self):
        self.check("one chunk")

    def test_large_chunks(self):
        self.check("large chunks")

    def test_tiny_chunks(self):
        self.check("tiny chunks")

    def test_chunk_lines_without_end(self):
        self.check("chunk line without end")

    def test_trailers_without_end(self):
        self.check("trailer without end")

    def test_connections_that_send_nothing(self):
        self.check("nothing", callers=2 * self.limits.max_files)

    # The same at the port of the readiness check.
    def test_bodies_at_the_readiness_port(self):
        self.check("body by length", self.gateway.ready)

    def test_chunks_at_the_readiness_port(self):
        self.check("one chunk", self.gateway.ready)

    def test_heads_at_the_readiness_port(self):
        self.check("head without end", self.gateway.ready)

    def test_connections_at_the_readiness_port(self):
        self.check("nothing", self.gateway.ready, callers=2 * self.limits.max_files)

    # The same at the port for links of other hosts.
    def test_bodies_at_the_port_for_links(self):
        self.check("body by length", self.gateway.peers)

    def test_heads_at_the_port_for_links(self):
        self.check("head without end", self.gateway.peers)

    def test_empty_lines_at_the_port_for_links(self):
        self.check("empty lines", self.gateway.peers)

    def test_messages_at_the_port_for_links(self):
        self.check("websocket message", self.gateway.peers)

    def test_fragments_at_the_port_for_links(self):
        self.check("websocket fragments", self.gateway.peers)

    def test_connections_at_the_port_for_links(self):
        self.check("nothing", self.gateway.peers, callers=2 * self.limits.max_files)

    # The same at the port for tunnels.
    def test_bodies_at_the_port_for_tunnels(self):
        self.check("body by length", self.gateway.tunnels)

    def test_heads_at_the_port_for_tunnels(self):
        self.check("head without end", self.gateway.tunnels)

    def test_connections_at_the_port_for_tunnels(self):
        self.check("nothing", self.gateway.tunnels, callers=2 * self.limits.max_files)


class ProcessLimitsTest(PlatformTest):
    # Guards against a process that counts on the memory of a machine of which it may use a part.
    def test_memory_is_no_more_than_the_process_may_use(self):
        self.platform.endpoint("booking")
        self.platform.configure(ROUTES[:1])
        gateway = self.start()
        gateway.command = ["sh", "-c", f"ulimit -d {300 << 10} && exec \"$@\"", "sh", *gateway.command]
        gateway.start_again()
        wait_until(gateway.is_ready, "the gateway to be ready")
        metrics = send(gateway.ready, "GET", "/metrics")[2].decode()
        limit = float(re.search(r'of="request_memory_limit_bytes"} (\S+)', metrics).group(1))
        self.assertLessEqual(limit, (300 << 20) / REQUEST_PART)
        self.assertGreaterEqual(limit, (32 << 20) / REQUEST_PART)  # of the least that a process counts on


class CrowdsOfOrdinarySizeTest(CrowdTest):
    """At a host of the smallest size that is in use, with as many callers as come to it at most."""

    limits = Limits(memory_mb=110, max_files=4100)
    crowd = {"path": "/slow/1", "callers": 1400, "body_bytes": 55_000}

    # Each guards against a host that runs out of memory though each of its callers keeps to the limits.
    def test_requests_that_wait(self):
        self.check("whole body", **self.crowd)

    def test_requests_that_stop_short(self):
        self.check("body by length", **self.crowd)

    def test_heads_without_end(self):
        self.check("head without end", **self.crowd)

    # Guards against a host that refuses some of a crowd of small requests although it has the memory.
    def test_small_requests_are_not_refused(self):
        self.check("whole body", **{**self.crowd, "body_bytes": 1000})
        metrics = send(self.gateway.ready, "GET", "/metrics")[2].decode()
        for name in ("callers_dropped", "requests_refused_for_memory"):
            self.assertIn(f'fescuesill_gateway_state{{of="{name}"}} 0', metrics)


if __name__ == "__main__":
    unittest.main()
