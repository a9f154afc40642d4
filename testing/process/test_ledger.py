"""The end of a ledger row on real binaries: swept when its time is over, settled by an operator when in doubt."""

import json
import signal
import time
import unittest

from cluster import Cluster
from standin import call, wait_until

HOUR = 3600
DAY = 24 * HOUR
WHO = ("--author", "eleni", "--reason", "not in the booking system")


def row(state, settled_before, **more):
    """A row as an entry leaves it, settled so many seconds ago and kept for seven days."""
    now = time.time()
    record = {"attempt": "r-old", "entry": "athens-h0", "digest": "d", "state": state,
              "deadline_us": int((now - settled_before) * 1e6), "expiry_us": int((now - settled_before + 7 * DAY) * 1e6)}
    return json.dumps({**record, **more})


class LedgerTest(unittest.TestCase):
    def setUp(self):
        self.cluster = Cluster(settings={"scheduler": {"ledger": {"sweep_pause": "200ms"}}})
        self.addCleanup(self.cluster.end)
        self.cluster.start()
        self.platform = self.cluster.platform.address

    def put(self, rows):
        writes = [{"key": key, "value": value} for key, value in rows.items()]
        for begin in range(0, len(writes), 100):
            self.assertEqual(call("POST", self.platform, "/table/commit", {"writes": writes[begin:begin + 100]})[0], 200)

    def read(self, key):
        return call("GET", self.platform, "/table/row?key=" + key)

    def keys(self):
        return {found["key"] for found in call("GET", self.platform, "/table/rows?prefix=call/&limit=1000")[1]["rows"]}

    @staticmethod
    def swept(host):
        lines = call("GET", host.scheduler_admin, "/metrics")[1].splitlines()
        return sum(float(line.split()[-1]) for line in lines if line.startswith("fescuesill_sweep_rows_deleted "))

    def ctl(self, *arguments):
        done = self.cluster.ctl(*arguments, "--platform", self.platform)
        return done.returncode, done.stdout, done.stderr

    # Rows of two services are older than seven days, among rows that must stay. Three schedulers share the sweep. What is over
    # must go, and nothing else.
    def test_rows_are_swept_after_their_time(self):
        over = {f"call/bookings/w1/over-{number}": row("done", 8 * DAY) for number in range(230)}
        over.update({f"call/gone-service/w1/over-{number}": row("released", 8 * DAY) for number in range(20)})
        stays = {"call/bookings/w1/a-doubt": row("open", 30 * DAY),
                 "call/bookings/w1/fresh": row("done", 6 * DAY),
                 "call/bookings/w2/within-the-margin": row("done", 7 * DAY + HOUR // 2),
                 "call/bookings/w2/malformed": "}"}
        self.put({**over, **stays})
        self.assertEqual(self.cluster.book(self.cluster.hosts[0], "now")[0], 200)
        wait_until(lambda: not {key for key in self.keys() if "/over-" in key}, "the sweep")
        wait_until(lambda: sum(self.swept(host) for host in self.cluster.hosts) == len(over), "the metric of the sweep")
        self.assertTrue(set(stays) <= self.keys())
        self.assertEqual(self.cluster.book(self.cluster.hosts[1], "now", repeat=True)[0], 200)
        self.assertEqual(self.cluster.executions("now"), 1)

    # A scheduler's delete is on its way for a second and a half. Meanwhile a caller books anew under a key of the batch, as
    # it may after seven days. The new row must stay, or the next repeat books once more; the others still go.
    def test_a_late_delete_spares_a_row_that_changed(self):
        self.cluster.fault(prefix="call/bookings/w1/over-", delay_ms=1500)
        writes = call("GET", self.platform, "/counts")[1]["writes"]
        names = ["renewed", *(f"over-{number}" for number in range(5))]
        self.put({f"call/bookings/w1/{name}": row("done", 8 * DAY) for name in names})
        wait_until(lambda: call("GET", self.platform, "/counts")[1]["writes"] >= writes + 2, "the delete to be on its way")
        fresh = row("open", 0)
        self.put({"call/bookings/w1/renewed": fresh})
        wait_until(lambda: self.keys() == {"call/bookings/w1/renewed"}, "the rest to be swept")
        self.assertEqual(self.read("call/bookings/w1/renewed")[1]["value"], fresh)

    # The application freezes with a booking in its socket. An operator does not find it there and, half an hour later,
    # states that it was not run. Then the application thaws and books. There must be one booking, and nobody may have
    # been told by the ledger that it was not run.
    def test_a_settled_key_is_not_run_again(self):
        frozen = [process for process in self.cluster.processes
                  if getattr(process, "address", None) in self.cluster.application_addresses()]
        for process in frozen:
            process.send(signal.SIGSTOP)
        status, reply = self.cluster.book(self.cluster.hosts[0], "k1", timeout=60)
        self.assertEqual((status, reply["error"]["run"]), (504, "may_have_run"), reply)
        key = "call/bookings/w1/k1"
        record = json.loads(self.read(key)[1]["value"])

        code, _, error = self.ctl("settle", "bookings", "w1", "k1", "--not-run", *WHO)
        self.assertEqual(code, 1, error)
        self.assertIn("may still be under way", error)
        record["deadline_us"] -= HOUR * 10**6  # an hour passes
        self.put({key: json.dumps(record)})
        code, text, _ = self.ctl("doubtful", "--service", "bookings")
        self.assertEqual((code, len(text.splitlines())), (0, 1), text)
        self.assertRegex(text, "^bookings w1 k1  in doubt since .*Z  entry athens-h0  request " + record["attempt"])
        listed = json.loads(self.ctl("doubtful", "--json")[1])
        self.assertEqual((listed["doubtful"][0]["key"], listed["next"]), ("k1", ""))

        self.cluster.fault(prefix=key, lose_next=1)
        code, text, error = self.ctl("settle", "bookings", "w1", "k1", "--not-run", *WHO)
        self.assertEqual(code, 0, error)
        self.assertIn("settled: it was not run, as stated by eleni", text)
        code, _, error = self.ctl("settle", "bookings", "w1", "k1", "--ran", "--author", "nikos", "--reason", "seen")
        self.assertEqual(code, 3, error)
        self.assertEqual(self.ctl("doubtful")[1], "")

        status, reply = self.cluster.book(self.cluster.hosts[1], "k1", repeat=True, timeout=60)
        self.assertEqual((status, reply["error"]["code"], reply["error"]["run"]), (409, "stated_not_run", "may_have_run"))
        for process in frozen:
            process.send(signal.SIGCONT)
        wait_until(lambda: self.cluster.executions("k1") == 1, "the booking to run after the statement")
        status, reply = self.cluster.book(self.cluster.hosts[2], "k1", repeat=True)
        self.assertEqual((status, self.cluster.executions("k1")), (200, 1), reply)
        stated = json.loads(wait_until(lambda: self.read(key)[1], "the row")["value"])["stated"]
        self.assertEqual((stated["author"], stated["said"]), ("eleni", "not_run"))


if __name__ == "__main__":
    unittest.main()
