"""The stand-in platform keeps what it promises, so that a test that leans on it means something."""

import http.client
import unittest

from standin import Process, binary, call, wait_until


def commit(address, *writes):
    return call("POST", address, "/table/commit", {"writes": list(writes)})


class FakePlatformTest(unittest.TestCase):
    def setUp(self):
        self.platform = Process(binary("fakeplatform")).read_address()
        self.addCleanup(self.platform.end)
        self.address = self.platform.address

    def fault(self, **fault):
        self.assertEqual(call("POST", self.address, "/faults", fault)[0], 200)

    def test_a_commit_writes_all_or_nothing(self):
        self.assertEqual(commit(self.address, {"key": "a/1", "value": "x", "if_version": 0}), (200, {"versions": [1]}))
        status, conflict = commit(self.address, {"key": "a/2", "value": "y"}, {"key": "a/1", "value": "z", "if_version": 0})
        self.assertEqual((status, conflict), (409, {"conflict": 1, "key": "a/1", "value": "x", "version": 1}))
        self.assertEqual(call("GET", self.address, "/table/row?key=a%2F2")[0], 404)

    def test_versions_go_on_after_a_delete(self):
        commit(self.address, {"key": "a", "value": "x"})
        commit(self.address, {"key": "a", "delete": True, "if_version": 1})
        self.assertEqual(commit(self.address, {"key": "a", "value": "y", "if_version": 0}), (200, {"versions": [3]}))

    def test_rows_come_in_pages(self):
        commit(self.address, *({"key": f"p/{i}", "value": i} for i in range(5)))
        page = call("GET", self.address, "/table/rows?prefix=p/&after=p/1&limit=2")[1]["rows"]
        self.assertEqual([row["key"] for row in page], ["p/2", "p/3"])

    # The story of the worst fault of a store: a write is carried out, its reply never comes, and whoever sent it must
    # not believe that nothing happened.
    def test_a_lost_reply_has_taken_effect(self):
        self.fault(prefix="call/", lose_next=1)
        commit(self.address, {"key": "other", "value": "not touched by the fault"})
        with self.assertRaises(http.client.RemoteDisconnected):
            commit(self.address, {"key": "call/1", "value": "x"})
        self.assertEqual(call("GET", self.address, "/table/row?key=call/1")[1]["value"], "x")
        log = call("GET", self.address, "/log?after=0")[1]["log"]
        self.assertEqual([record["key"] for record in log], ["other", "call/1"])

    def test_an_outage_hits_only_its_prefix_and_ends(self):
        self.fault(prefix="call/", outage=True)
        self.assertEqual(call("GET", self.address, "/table/row?key=call/1")[0], 503)
        self.assertEqual(call("GET", self.address, "/table/row?key=config/current")[0], 404)
        self.fault()
        self.assertEqual(call("GET", self.address, "/table/row?key=call/1")[0], 404)

    def test_writes_over_the_rate_are_refused(self):
        with Process(binary("fakeplatform"), "--writes", "1") as slow:
            statuses = [commit(slow.address, {"key": "a", "value": i})[0] for i in range(50)]
            self.assertIn(429, statuses)
            self.assertEqual(call("GET", slow.address, "/table/row?key=a")[1]["version"], statuses.count(200))

    def test_the_host_list_lags(self):
        hosts = [{"host": "a", "state": "live"}]
        call("POST", self.address, "/hosts", {"hosts": hosts, "lag_ms": 300})
        self.assertEqual(call("GET", self.address, "/hosts")[1], {"hosts": []})
        wait_until(lambda: call("GET", self.address, "/hosts")[1]["hosts"] == hosts, "the new host list")


if __name__ == "__main__":
    unittest.main()
