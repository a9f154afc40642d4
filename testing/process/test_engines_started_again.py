"""An engine starts again under its id with another software version, and no host has read its row since."""

import concurrent.futures
import http.client
import pathlib
import sys
import threading
import unittest

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "soak"))

# pylint: disable=wrong-import-position
from gatewayprocess import SIZE, send  # noqa: E402
from proxy import Proxy  # noqa: E402
from standin import wait_until  # noqa: E402
from test_mixed_versions import World  # noqa: E402
from userplatform import EVENTS, events_in  # noqa: E402

STREAMS = 6
DOWN_SECONDS = 0.1


class StartedAgainTest(World):
    versions = ("v1", "v1", "v1")

    def setUp(self):
        super().setUp()
        self.proxy = Proxy(self.platform.address)
        self.addCleanup(self.proxy.end)
        self.version_of = {writer.signature: writer.version for writer in self.writers}
        self.one, *self.others = self.writers

    def versions_of(self, body):
        return [self.version_of[signature] for _, signature in events_in(body)]

    def start_hosts(self):
        return self.start_linked(2, store=self.proxy.address)

    def start_again_unseen(self, version="v2"):
        """The hosts know the row of its first start."""
        self.proxy.mode = "silent"
        is_back = threading.Event()
        self.one.on_back.append(is_back.set)
        self.one.down_seconds = DOWN_SECONDS
        self.one.version, self.one.signature = version, f"{self.one.name}-{version}"
        self.version_of[self.one.signature] = version
        self.one.crash()
        self.assertTrue(is_back.wait(5))

    def let_hosts_read(self, gateways):
        self.proxy.mode = "pass"
        self.proxy.reset()
        for gateway in gateways:
            wait_until(lambda log=gateway.log: f"event=endpoint_changed endpoint={self.one.name} " in log(), "the row")

    def behave(self, one, others):
        self.one.behave = one
        for writer in self.others:
            writer.behave = others

    def begin_all(self, gateways):
        return [self.begin(gateways[number % len(gateways)]) for number in range(STREAMS)]

    def take_up_all(self, gateways, begun):
        """At the same time. None goes on at another version."""
        with concurrent.futures.ThreadPoolExecutor(len(begun)) as callers:
            asked = [callers.submit(self.take_up, gateways[(number + 1) % len(gateways)], *stream)
                     for number, stream in enumerate(begun)]
        results = [each.result() for each in asked]
        self.assertEqual([versions for _, versions in results if len(set(versions)) > 1], [])
        return results

    # Each guards against a stream that is recorded under the version of the start before, and goes on at that version.
    def test_streams_that_begin_there(self):
        gateways = self.start_hosts()
        self.start_again_unseen()
        self.behave("half_first", "full")
        begun = self.begin_all(gateways)
        self.behave("full", "ok")
        self.take_up_all(gateways, begun)
        self.let_hosts_read(gateways)
        self.take_up_all(gateways, begun)

    def test_a_host_goes_on_with_a_stream_that_began_there(self):
        gateway = self.start_hosts()[1]
        self.start_again_unseen()
        self.behave("half_first", "full")
        self.one.on_half = lambda: self.behave("full", "ok")
        try:
            _, _, body = send(gateway.callers, "POST", "/go-on/1", b"p", **SIZE)
        except http.client.IncompleteRead as torn:
            body = torn.partial
        self.assertEqual(set(self.versions_of(body)), {"v2"})

    # Guards against streams of the version before that go on there.
    def test_streams_that_go_on_there(self):
        gateways = self.start_hosts()
        self.behave("full", "half_first")
        begun = self.begin_all(gateways)
        self.start_again_unseen()
        self.behave("ok", "full")
        self.take_up_all(gateways, begun)
        self.behave("ok", "ok")
        results = self.take_up_all(gateways, begun)
        self.assertTrue(all(status == 200 and len(versions) == EVENTS for status, versions in results), results)

    # Guards against streams of the version before that go on there since its report is lost.
    def test_streams_that_go_on_there_while_its_report_is_refused(self):
        gateways = self.start_hosts()
        self.behave("full", "half_first")
        begun = self.begin_all(gateways)
        self.one.report_status = 502
        self.start_again_unseen()
        self.behave("ok", "full")
        self.take_up_all(gateways, begun)

    # Guards against streams that are refused for good since their engine started again with the version that it had.
    def test_streams_that_begin_there_at_the_same_version_go_on_when_the_row_is_read(self):
        gateways = self.start_linked(2, store=self.proxy.address, first_start=True)
        self.start_again_unseen("v1")
        self.behave("half_first", "full")
        begun = self.begin_all(gateways)
        self.let_hosts_read(gateways)
        self.behave("full", "ok")
        self.check_taken_up(self.take_up_all(gateways, begun))


if __name__ == "__main__":
    unittest.main()
