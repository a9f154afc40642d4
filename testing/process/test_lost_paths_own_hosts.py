"""An entry or a scheduler that loses its paths to all engines and endpoints, while the other processes keep theirs."""

import pathlib
import sys
import time
import types
import unittest

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "soak"))

from cluster import Cluster  # noqa: E402  pylint: disable=wrong-import-position
from paths import Paths  # noqa: E402  pylint: disable=wrong-import-position

CONTACT_SECONDS = 3  # from the start of a cut until its hosts must serve again
CALLS = 9
ALLOWED_SHARE = 2 / 3


class LostPathsOfOwnHostsTest(unittest.TestCase):
    def setUp(self):
        self.cluster = Cluster()
        self.addCleanup(self.cluster.end)
        self.cluster.start_standins()
        addresses = [address for address, *_ in (*self.cluster.engines.values(), *self.cluster.applications.values())]
        self.host = self.cluster.hosts[0]
        for program in ("entry", "scheduler"):
            paths = Paths(self.cluster.folder.name, f"{program}-0",
                          [types.SimpleNamespace(address=address) for address in addresses])
            self.addCleanup(paths.end)
            self.cluster.paths[program, self.host.name] = paths
        self.cluster.put_declaration(self.cluster.declaration())
        for host in self.cluster.hosts:
            self.cluster.start_scheduler(host)
            self.cluster.start_entry(host)
        self.cluster.wait_ready()

    def served(self, call):
        return sum(call(number)[0] == 200 for number in range(CALLS))

    def cut(self, *programs):
        for program in programs:
            self.cluster.paths[program, self.host.name].cut("refuse")
        time.sleep(CONTACT_SECONDS)

    # Guards against entries that refuse their callers because they reach no engine, although other hosts reach them all.
    def test_model_calls_are_served_while_an_entry_reaches_no_engine(self):
        self.cut("entry")
        served = self.served(lambda number: self.cluster.complete(self.host, f"a log nonce=n{number} ."))
        self.assertGreaterEqual(served, ALLOWED_SHARE * CALLS)

    def test_keyed_calls_are_served_while_an_entry_reaches_no_endpoint(self):
        self.cut("entry")
        served = self.served(lambda number: self.cluster.book(self.host, f"k{number}"))
        self.assertGreaterEqual(served, ALLOWED_SHARE * CALLS)

    # Guards against an owner of a cell that takes all engines for silent because it reaches none itself.
    def test_model_calls_are_served_while_the_owner_of_a_cell_reaches_no_engine(self):
        self.cut("scheduler")
        served = self.served(lambda number: self.cluster.complete(self.host, f"a log nonce=n{number} ."))
        self.assertGreaterEqual(served, ALLOWED_SHARE * CALLS)
