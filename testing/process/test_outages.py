"""The platform's table, a scheduler, and a host go away under load."""

import signal
import time
import unittest

from cluster import DATA_CENTRES, Cluster, history
from standin import call, wait_until

LOAD = ("--rate", "15", "--output-tokens", "400")


def outcomes(cluster, kind):
    return [record["outcome"] for record in history(cluster.history_file())[0] if record["class"] == kind]


class OutageTest(unittest.TestCase):
    def start(self, **options):
        cluster = Cluster(**options)
        self.addCleanup(cluster.end)
        cluster.start()
        return cluster

    # The platform's table is down for a while. Clerks must hear at once that a booking was not run, verdicts and lookups
    # go on as if nothing were, and when the table is back bookings are taken again.
    def test_a_table_outage_stops_only_bookings(self):
        cluster = self.start(decode_engines=2)
        load = cluster.start_load(*LOAD, "--seconds", "12", "--attempts", "3")
        time.sleep(3)
        cluster.fault(prefix="", outage=True)
        status, reply = cluster.book(cluster.hosts[0], "during-outage")
        self.assertEqual((status, reply["error"]["run"]), (503, "not_run"))
        time.sleep(4)
        cluster.fault()
        code, output = cluster.finish_load(load)
        self.assertEqual(code, 0, output)
        for kind in ("completion", "chat", "lookup"):
            self.assertEqual(set(outcomes(cluster, kind)), {"done"}, output)
        self.assertIn("refused", outcomes(cluster, "booking"))
        self.assertEqual(cluster.executions("during-outage"), 0)
        wait_until(lambda: cluster.book(cluster.hosts[0], "after-outage")[0] == 200, "bookings to be taken again")
        self.assertEqual(cluster.executions("after-outage"), 1)

    # Replies of the table get lost after the write took effect, again and again. Each booking must still run once for a
    # caller that was told so.
    def test_lost_replies_of_the_table_double_nothing(self):
        cluster = self.start()
        cluster.fault(prefix="call/", lose_rate=0.2)
        load = cluster.start_load("--rate", "20", "--seconds", "6", "--completions", "0", "--chats", "0", "--bookings", "1")
        code, output = cluster.finish_load(load)
        self.assertEqual(code, 0, output)
        self.assertIn("done", outcomes(cluster, "booking"))

    # An application runs bookings and dies before it replies. Nobody can know by the connection alone whether they ran;
    # the entry must not send them again, and asks for the result instead.
    def test_lost_replies_of_the_application_double_nothing(self):
        cluster = self.start()
        for address in cluster.application_addresses():
            call("POST", address, "/faults", {"lose_next": 5})
        load = cluster.start_load("--rate", "20", "--seconds", "6", "--completions", "0", "--chats", "0", "--bookings", "1")
        code, output = cluster.finish_load(load)
        self.assertEqual(code, 0, output)

    # A host's scheduler dies while its cell's memory is full. Another one takes the cell over; nothing that runs is cut,
    # and what nobody reads any more is cleared.
    def test_a_scheduler_dies_while_its_cell_is_full(self):
        cluster = self.start(pieces=4, hosts=(*DATA_CENTRES, DATA_CENTRES[0]))
        witness = cluster.hosts[1]
        owner = wait_until(lambda: cluster.owner(DATA_CENTRES[0], witness), "an owner")
        load = cluster.start_load("--rate", "15", "--seconds", "6", "--output-tokens", "200", "--prompt-bytes", "4000",
                                  "--preamble-bytes", "2000", "--bookings", "0", "--completions", "0.6", "--chats", "0.4")

        def full():
            loads = [call("GET", address, "/v1/load")[1] for address in cluster.decode_addresses()]
            return any(load["pieces_used"] == load["pieces_total"] for load in loads)

        wait_until(full, "some cell to be full")
        owner.scheduler.kill()
        wait_until(lambda: cluster.owner(DATA_CENTRES[0], witness) not in (None, owner), "another owner")
        code, output = cluster.finish_load(load)
        self.assertEqual(code, 0, output)
        self.assertIn("done", outcomes(cluster, "completion"))

    # A host is stopped for an upgrade. The balancer sees it go, nothing new is sent there, and no caller notices.
    def test_a_planned_stop_cuts_off_nothing(self):
        cluster = self.start(decode_engines=2)
        load = cluster.start_load(*LOAD, "--seconds", "12")
        time.sleep(3)
        stopping = cluster.hosts[1]
        stopping.entry.send(signal.SIGTERM)
        self.assertEqual(stopping.entry.process.wait(timeout=60), 0, stopping.entry.log())
        stopping.scheduler.send(signal.SIGTERM)
        self.assertEqual(stopping.scheduler.process.wait(timeout=90), 0, stopping.scheduler.log())
        code, output = cluster.finish_load(load)
        self.assertEqual(code, 0, output)
        cut = [record for record in history(cluster.history_file())[0] if record["resumes"] or record["restarts"]]
        self.assertEqual(cut, [], output)
        self.assertEqual(set(outcomes(cluster, "lookup")) | set(outcomes(cluster, "booking")), {"done"})


if __name__ == "__main__":
    unittest.main()
