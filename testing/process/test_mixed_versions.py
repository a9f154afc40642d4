"""Engines of several software versions serve side by side. A stream goes on only at the version that began it."""

import http.client
import re
import time
import unittest

from gatewayprocess import SIZE, ids, send
from platformtest import PlatformTest
from standin import wait_until
from userplatform import EVENTS, events_in, route

STREAMS = 16
NOTICE_SECONDS = 0.5  # for hosts to tell each other what began
SAVED_SECONDS = 1.5  # until the leader has saved what began
GOES_ON_SHARE = 1 / 2  # of the share of new streams that begin: what the users' rule asks for
ROUTES = [route("/go-on/", "stream", "llm", max_attempts=2, resumable=True),
          route("/once/", "stream", "llm", max_attempts=1, resumable=True)]


class World(PlatformTest):
    versions = ("v1", "v2", "v1", "v2")

    def setUp(self):
        super().setUp()
        self.platform.endpoint("llm", "prefill")
        self.writers = [self.platform.endpoint("llm", "decode", version) for version in self.versions]
        self.platform.configure(ROUTES)

    def versions_of(self, body):
        by_name = {writer.name: writer.version for writer in self.writers}
        return [by_name[name] for _, name in events_in(body)]

    def all_behave(self, behaviour):
        for writer in self.writers:
            writer.behave = behaviour

    def begin(self, gateway):
        """Begins a stream that breaks off: its id and what came."""
        stream = next(ids)
        try:
            status, _, body = send(gateway.callers, "POST", "/once/1", b"p", X_Request_Id=stream, **SIZE)
        except http.client.IncompleteRead as torn:
            return stream, torn.partial
        raise AssertionError(f"did not break off: {status} {body}")

    def take_up(self, gateway, stream, came):
        """Status and versions of what one stream holds after its caller has taken it up."""
        last = len(self.versions_of(came))
        status, _, body = send(gateway.callers, "POST", "/once/1", b"p", Resumes=stream, Last_Event_Id=last, **SIZE)
        return status, self.versions_of(came) + (self.versions_of(body) if status == 200 else [])

    def check_taken_up(self, results):
        mixed = [versions for _, versions in results if len(set(versions)) > 1]
        self.assertEqual(mixed, [])
        gone_on = sum(status == 200 and len(versions) == EVENTS for status, versions in results)
        self.assertGreaterEqual(gone_on, GOES_ON_SHARE * len(results), results)


class MixedVersionsTest(World):
    # Guards against a stream that its host goes on with at an engine of another version.
    def test_a_host_goes_on_at_the_version_that_began(self):
        gateway = self.start("g1")
        self.all_behave("half_first")
        bodies = []
        for _ in range(STREAMS):
            try:
                bodies.append(send(gateway.callers, "POST", "/go-on/1", b"p", **SIZE)[2])
            except http.client.IncompleteRead as torn:  # beyond the budget of retries
                bodies.append(torn.partial)
        versions = [self.versions_of(body) for body in bodies]
        self.assertEqual([each for each in versions if len(set(each)) > 1], [])
        self.assertTrue(any(len(each) == EVENTS for each in versions))

    # Guards against a stream that its caller takes up, at any host, and that goes on at another version.
    def test_a_caller_goes_on_at_the_version_that_began(self):
        gateways = self.start_linked(3)
        self.all_behave("half_first")
        results = []
        for number in range(STREAMS):
            stream, came = self.begin(gateways[number % 3])
            results.append(self.take_up(gateways[(number + 1) % 3], stream, came))
        self.check_taken_up(results)

    # Guards against streams that nobody can take up since a report was lost when they began.
    def test_streams_go_on_whose_engines_did_not_report_at_first(self):
        gateways = self.start_linked(2)
        for writer in self.writers:
            writer.report_status = 503
        self.all_behave("half_first")
        begun = [self.begin(gateways[number % 2]) for number in range(STREAMS)]
        time.sleep(NOTICE_SECONDS)
        for writer in self.writers:
            writer.report_status = 200
        self.check_taken_up([self.take_up(gateways[(number + 1) % 2], *each) for number, each in enumerate(begun)])

    # Guards against a stream that can be taken up only while the host that began it lives.
    def test_a_stream_goes_on_after_its_host_was_killed(self):
        self.check_killed([1])

    def test_a_stream_of_the_leader_goes_on_after_it_was_killed(self):
        self.check_killed([0])

    # Guards against streams that nobody can take up once their host and the leader were killed together.
    def test_a_stream_goes_on_after_its_host_and_the_leader_were_killed(self):
        self.check_killed([0, 2])

    def check_killed(self, killed):
        """0 is the leader, 1 its deputy. Streams begin at the last of those that are killed."""
        gateways = self.start_linked(3)
        deputy = wait_until(lambda: re.findall(r"event=deputy_named address=(\S+)", gateways[0].log()), "a deputy")[-1]
        gateways[1:] = sorted(gateways[1:], key=lambda gateway: gateway.peers != deputy)
        self.all_behave("half_first")
        begun = [self.begin(gateways[killed[-1]]) for _ in range(STREAMS)]
        time.sleep(NOTICE_SECONDS)
        for number in killed:
            gateways[number].kill()
        other = next(gateway for number, gateway in enumerate(gateways) if number not in killed)
        wait_until(lambda: send(other.callers, "POST", "/go-on/1", b"p", **SIZE)[0] == 200, "a new stream to begin")
        self.check_taken_up([self.take_up(other, stream, came) for stream, came in begun])

    def begin_at(self, gateways):
        self.all_behave("half_first")
        return [self.begin(gateways[number % len(gateways)]) for number in range(STREAMS)]

    def take_up_after_all_were_killed(self, gateways, begun):
        time.sleep(SAVED_SECONDS)
        self.lose_all(gateways)
        self.all_behave("ok")
        wait_until(lambda: send(gateways[0].callers, "POST", "/go-on/1", b"p", **SIZE)[0] == 200, "a new stream to begin")
        return [self.take_up(gateways[number % len(gateways)], *stream) for number, stream in enumerate(begun)]

    # Each guards against streams that no host remembers once all hosts were lost, and that are refused or joined of two versions.
    def test_streams_go_on_after_all_hosts_were_killed(self):
        gateways = self.start_linked(3)
        begun = self.begin_at(gateways)
        self.check_taken_up(self.take_up_after_all_were_killed(gateways, begun))

    def test_streams_that_began_before_versions_were_mixed_go_on_after_all_hosts_were_killed(self):
        gateways = self.start_linked(3)
        for writer in self.writers:
            if writer.version == "v2":
                self.platform.remove(writer)
                for gateway in gateways:
                    wait_until(lambda name=writer.name, log=gateway.log: f"event=endpoint_removed endpoint={name}" in log(), "the removal")
        begun = self.begin_at(gateways)
        for writer in self.writers:
            self.platform.register(writer)
        self.check_taken_up(self.take_up_after_all_were_killed(gateways, begun))

    def test_streams_whose_version_left_before_all_hosts_were_killed_are_refused(self):
        gateways = self.start_linked(3)
        begun = self.begin_at(gateways)
        for writer in self.writers:
            if writer.version == "v1":
                self.platform.remove(writer)
        results = self.take_up_after_all_were_killed(gateways, begun)
        self.assertEqual([versions for _, versions in results if len(set(versions)) > 1], [])
        self.assertTrue(all(status == 503 for status, versions in results if versions[0] == "v1"), results)

    # Guards against a wait for the deadline, or another version, where no engine of the version serves any more.
    def test_a_stream_whose_version_is_gone_is_refused_at_once(self):
        gateway = self.start("g1")
        self.all_behave("half_first")
        stream, came = self.begin(gateway)
        version = self.versions_of(came)[0]
        for writer in self.writers:
            if writer.version == version:
                self.platform.remove(writer)
                wait_until(lambda name=writer.name: f"event=endpoint_removed endpoint={name}" in gateway.log(), "the removal")
        begin = time.monotonic()
        status, headers, body = send(gateway.callers, "POST", "/once/1", b"p", Resumes=stream, Last_Event_Id=2, **SIZE)
        self.assertEqual(status, 503)
        self.assertIn(b'"not_run"', body)
        self.assertGreater(float(headers["Retry-After"]), 0)
        self.assertLess(time.monotonic() - begin, 1)

    # Guards against a guess at the version of a stream that no host knows, and of one that names no first request.
    def test_an_unknown_stream_does_not_go_on_while_versions_are_mixed(self):
        gateway = self.start("g1")
        for headers in ({"Resumes": "unknown"}, {}):
            with self.subTest(headers=headers):
                status, _, body = send(gateway.callers, "POST", "/once/1", b"p", Last_Event_Id=2, **SIZE, **headers)
                self.assertEqual(status, 503)
                self.assertIn(b'"not_run"', body)
        self.assertEqual(sum(len(writer.seen) for writer in self.writers), 0)


class SplitRouteTest(World):
    """The same where a route is split over two services: a stream goes on at the service that began it."""

    versions = ("v1", "v2")

    def setUp(self):
        super().setUp()
        self.writers += [self.platform.endpoint("other", "decode", version) for version in self.versions]
        self.platform.endpoint("other", "prefill")
        split = [{"service": "llm", "weight": 50}, {"service": "other", "weight": 50}]
        routes = [{**each, "traffic_split": split} for each in ROUTES]
        for each in routes:
            del each["service"]
        self.platform.configure(routes)

    # Guards against a stream that its caller takes up at another service of its route.
    def test_a_caller_goes_on_at_the_service_that_began(self):
        gateway = self.start("g1")
        services = {writer.name: writer.service for writer in self.writers}
        for _ in range(STREAMS):
            self.all_behave("half_first")
            stream, came = self.begin(gateway)
            _, _, body = send(gateway.callers, "POST", "/once/1", b"p", Resumes=stream, Last_Event_Id=2, **SIZE)
            self.assertEqual(len({services[name] for _, name in events_in(came + body)}), 1)


if __name__ == "__main__":
    unittest.main()
