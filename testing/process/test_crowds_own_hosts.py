"""Crowds of callers that hold what they have sent, at each port of an entry and a scheduler."""

import json
import unittest

from cluster import MODEL, Cluster
from crowd import Crowd
from crowdtest import CrowdChecks, Limits
from standin import call

LIMITS = Limits(memory_mb=64, max_files=400)  # of each process, as its settings state
BODY_BYTES = 4 << 20  # the largest that the settings allow
CALLERS = 60


class CrowdsOfOwnHostsTest(CrowdChecks, unittest.TestCase):
    def setUp(self):
        limits = {"limits": LIMITS._asdict()}
        self.cluster = Cluster(hosts=("athens",), settings={"entry": {**limits, "threads": {"io": 1}}, "scheduler": limits})
        self.addCleanup(self.cluster.end)
        self.cluster.start()
        self.host = self.cluster.hosts[0]

    def is_served(self):
        return self.cluster.complete(self.host, "a log nonce=n1 .", tokens=2)[0] == 200

    def is_largest_served(self):
        """A prompt of the largest size is read whole: it is refused for its context and not for its size in bytes."""
        body = json.dumps({"model": MODEL, "prompt": "", "max_tokens": 1})
        body = body.replace('""', '"' + "x" * (BODY_BYTES - len(body)) + '"')
        status, reply = call("POST", self.host.callers, "/v1/completions", body)
        return status == 413 and "context" in json.dumps(reply)

    def are_metrics_served(self):
        return all(call("GET", port, "/healthz")[0] == 200 for port in (self.host.entry_admin, self.host.scheduler_admin))

    def check(self, process, address, form, path="/v1/completions", callers=CALLERS, body_bytes=BODY_BYTES):
        host = self.host
        self.check_crowd(process, [host.callers, host.entry_admin, host.peers, host.scheduler_admin],
                         lambda: Crowd([address], form, callers, path, body_bytes), LIMITS, self.is_served,
                         [self.is_largest_served, self.are_metrics_served])

    def check_callers(self, form, **more):
        self.check(self.host.entry, self.host.callers, form, **more)

    # Each guards against an entry whose memory or descriptors such callers use up.
    def test_heads_without_end(self):
        self.check_callers("head without end")

    def test_empty_lines(self):
        self.check_callers("empty lines")

    def test_bodies_by_length(self):
        self.check_callers("body by length")

    def test_bodies_in_pieces(self):
        self.check_callers("body in pieces")

    def test_whole_bodies(self):
        self.check_callers("whole body")

    def test_whole_bookings(self):
        self.check_callers("whole body", path="/bookings")

    def test_one_chunk(self):
        self.check_callers("one chunk")

    def test_large_chunks(self):
        self.check_callers("large chunks")

    def test_tiny_chunks(self):
        self.check_callers("tiny chunks")

    def test_connections_that_send_nothing(self):
        self.check_callers("nothing", callers=2 * LIMITS.max_files)

    def test_prompts_of_many_values(self):
        self.check_callers("many values")

    # The same at the ports for metrics and commands.
    def test_bodies_at_the_admin_port_of_the_entry(self):
        self.check(self.host.entry, self.host.entry_admin, "body by length", path="/config", body_bytes=1 << 20)

    def test_connections_at_the_admin_port_of_the_entry(self):
        self.check(self.host.entry, self.host.entry_admin, "nothing", callers=2 * LIMITS.max_files)

    def test_bodies_at_the_admin_port_of_the_scheduler(self):
        self.check(self.host.scheduler, self.host.scheduler_admin, "body by length", path="/config", body_bytes=1 << 20)

    def test_reads_with_bodies_at_the_admin_port_of_the_scheduler(self):
        self.check(self.host.scheduler, self.host.scheduler_admin, "read with a body", path="/metrics", body_bytes=1 << 20)

    def test_heads_at_the_admin_port_of_the_scheduler(self):
        self.check(self.host.scheduler, self.host.scheduler_admin, "head without end")

    def test_connections_at_the_admin_port_of_the_scheduler(self):
        self.check(self.host.scheduler, self.host.scheduler_admin, "nothing", callers=2 * LIMITS.max_files)

    # The same at the port for links of entries and other schedulers.
    def test_bodies_at_the_port_for_links(self):
        self.check(self.host.scheduler, self.host.peers, "body by length")

    def test_heads_at_the_port_for_links(self):
        self.check(self.host.scheduler, self.host.peers, "head without end")

    def test_messages_at_the_port_for_links(self):
        self.check(self.host.scheduler, self.host.peers, "websocket message")

    def test_fragments_at_the_port_for_links(self):
        self.check(self.host.scheduler, self.host.peers, "websocket fragments")

    def test_connections_at_the_port_for_links(self):
        self.check(self.host.scheduler, self.host.peers, "nothing", callers=2 * LIMITS.max_files)


if __name__ == "__main__":
    unittest.main()
