"""Entries that die or freeze while they answer."""

import signal
import threading
import unittest

from cluster import Cluster, EventStream
from standin import call, wait_until


class EntryDeathTest(unittest.TestCase):
    def setUp(self):
        self.cluster = Cluster()
        self.addCleanup(self.cluster.end)
        self.cluster.start()
        self.first, self.second, self.third = self.cluster.hosts

    # A mechanic reads a verdict as it is written. The entry that writes it is killed in the middle. The mechanic's client
    # asks another entry with the id of the last event it got, and must end up with the whole answer, each word once.
    def test_the_caller_resumes_elsewhere_with_the_whole_answer(self):
        stream = EventStream(self.first, "a log nonce=killed .", tokens=600)
        begin = stream.read(20)
        self.first.entry.kill()
        begin += stream.read()
        self.assertFalse(stream.is_done)
        rest = stream.resume(self.second)
        whole = begin + rest.read()
        self.assertTrue(rest.is_done)
        status, reference = self.cluster.complete(self.third, "a log nonce=killed .", tokens=600)
        self.assertEqual(status, 200)
        self.assertEqual(whole, reference["choices"][0]["text"])
        wait_until(lambda: not self.cluster.streams(), "the memory to be free")

    # The same, but the caller has gone home as well. Nobody will read the answer, the engine goes on writing it, and its
    # memory would be held for hours. The owner of the cell must cancel the stream after the resume grace.
    def test_no_memory_stays_held_when_entry_and_caller_are_gone(self):
        stream = EventStream(self.first, "a log nonce=gone .", tokens=50000)
        stream.read(5)
        self.assertEqual(len(self.cluster.streams()), 1)
        self.first.entry.kill()
        stream.close()
        wait_until(lambda: not self.cluster.streams(), "the orphan to be cancelled")

    # A caller hangs up in the middle of an answer. The engine must be told, or it writes to the end for nobody.
    def test_no_memory_stays_held_when_the_caller_hangs_up(self):
        stream = EventStream(self.first, "a log nonce=hung-up .", tokens=50000)
        stream.read(5)
        stream.close()
        wait_until(lambda: not self.cluster.streams(), "the stream to be cancelled")


class FrozenEntryTest(unittest.TestCase):
    def setUp(self):
        self.cluster = Cluster()
        self.addCleanup(self.cluster.end)
        self.cluster.start()
        self.first, self.second, _ = self.cluster.hosts

    def freeze_between_insert_and_send(self, key):
        """The insert takes effect at once and its reply comes late; the entry is stopped in between."""
        self.cluster.fault(prefix="call/", slow_ms=1500)
        told = []
        caller = threading.Thread(target=lambda: told.append(self.cluster.book(self.first, key, timeout=90)))
        caller.start()
        wait_until(lambda: any(key in record["key"] for record in self.log()), "the record of the booking")
        self.first.entry.send(signal.SIGSTOP)
        self.cluster.fault()
        return caller, told

    def log(self):
        return call("GET", self.cluster.platform.address, "/log?after=0")[1]["log"]

    # A clerk books a motor. The entry writes the record, and is paused by its host before it sends the booking on. The
    # clerk's client gives up and asks another entry with the same key. Minutes later the first entry wakes up and
    # believes that it still has to send. The booking must run at most once, and not after somebody was told it did not.
    def test_a_booking_runs_at_most_once_when_its_entry_freezes_and_thaws(self):
        caller, told = self.freeze_between_insert_and_send("frozen-1")
        status, elsewhere = self.cluster.book(self.second, "frozen-1", repeat=True)
        if status != 200:
            self.assertNotEqual(elsewhere["error"]["run"], "not_run", elsewhere)
        # Past the attempt's deadline: the second entry may by now have settled the record.
        wait_until(lambda: self.cluster.book(self.second, "frozen-1", repeat=True)[1].get("error", {}).get("code")
                   != "in_progress", "the attempt's deadline to pass")
        self.first.entry.send(signal.SIGCONT)
        caller.join()
        ran = self.cluster.executions("frozen-1")
        told_of = [told[0], (status, elsewhere)]
        self.assertLessEqual(ran, 1, told_of)
        if any(code == 200 for code, _ in told_of):
            self.assertEqual(ran, 1, told_of)
        if any(code != 200 and reply["error"]["run"] == "not_run" for code, reply in told_of):
            self.assertEqual(ran, 0, told_of)
        # Whatever was told, one more try with the same key ends with the booking placed once, or with an honest "may have".
        status, again = self.cluster.book(self.second, "frozen-1", repeat=True)
        ran = self.cluster.executions("frozen-1")
        if status == 200:
            self.assertEqual(ran, 1, again)
        else:
            self.assertNotEqual(again["error"]["run"], "not_run", again)
            self.assertLessEqual(ran, 1)


if __name__ == "__main__":
    unittest.main()
