"""A fleet with keys: its own processes hear each other, others get nothing in, and commands need an operator's proof."""

import json
import pathlib
import socket
import subprocess
import tempfile
import unittest

from cluster import Cluster
from standin import binary, call, free_address, wait_until

FLEET, OTHER, OPERATOR = "a" * 64, "b" * 64, "c" * 64


def metric(admin, name):
    """The sum of a metric over its labels."""
    lines = call("GET", admin, "/metrics")[1].splitlines()
    return sum(float(line.rsplit(" ", 1)[1]) for line in lines if line.split("{")[0].split(" ")[0] == name)


class KeysTest(unittest.TestCase):
    def setUp(self):
        folder = tempfile.TemporaryDirectory(prefix="fescuesill-keys-")
        self.addCleanup(folder.cleanup)
        self.folder = pathlib.Path(folder.name)
        self.files = {name: self.key_file(name, key)
                      for name, key in (("fleet", FLEET), ("other", OTHER), ("operator", OPERATOR))}
        keys = {"keys": {"fleet": self.files["fleet"], "operator": self.files["operator"]}}
        self.cluster = Cluster(settings={"entry": dict(keys), "scheduler": dict(keys)})
        self.addCleanup(self.cluster.end)

    def key_file(self, name, *keys):
        path = self.folder / name
        path.write_text("".join(f"{key}\n" for key in keys))
        path.chmod(0o600)
        return str(path)

    def drain(self, host, *more):
        return self.cluster.ctl("drain", host.name, "--platform", self.cluster.platform.address, *more)

    def is_ready(self, host):
        return call("GET", host.entry_admin, "/readyz")[0] == 200

    # A stranger on the inner network sends a forged probe and asks a host to stop. Nothing of it is taken: the fleet
    # goes on with its version and serves. The operator with the key stops the host.
    def test_strangers_change_nothing_and_operators_do(self):
        self.cluster.start()
        host, other = self.cluster.hosts[:2]
        self.assertEqual(self.cluster.complete(host, "a log nonce=k1 .")[0], 200)
        forged = b"\x87\x00\x61x" + bytes([0x60 + len(host.name)]) + host.name.encode() + b"\x60\x00\x80\x80"
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as stranger:
            address, port = host.peers.split(":")
            wait_until(lambda: stranger.sendto(forged, (address, int(port)))
                       and metric(host.scheduler_admin, "fescuesill_probes_refused") >= 1, "the probe to be refused")
        self.assertEqual(call("POST", host.entry_admin, "/drain")[0], 401)
        self.assertEqual(call("POST", host.scheduler_admin, "/drain")[0], 401)
        refused = self.drain(host)
        self.assertEqual(refused.returncode, 1, refused.stdout + refused.stderr)
        self.assertIn("operator's proof is needed: missing", refused.stdout)
        self.assertEqual(self.drain(host, "--operator-key", self.files["other"]).returncode, 1)
        self.assertTrue(self.is_ready(host))
        self.assertEqual(self.cluster.complete(host, "a log nonce=k2 .")[0], 200)
        drained = self.drain(host, "--operator-key", self.files["operator"])
        self.assertEqual(drained.returncode, 0, drained.stdout + drained.stderr)
        wait_until(lambda: not host.entry.is_running() and not host.scheduler.is_running(), "the host to end")
        self.assertEqual(self.cluster.complete(other, "a log nonce=k3 .")[0], 200)

    # One host is set up with another key. It must not take part, the others must go on, and an operator must see on
    # either side which host it is. With the right key it takes part.
    def test_a_host_with_another_key_is_refused_and_named(self):
        wrong = self.cluster.hosts[2]
        right = self.cluster.hosts[:2]
        self.cluster.start_standins()
        self.cluster.put_declaration(self.cluster.declaration())
        for host in right:
            self.cluster.start_scheduler(host)
            self.cluster.start_entry(host)
        for program in ("scheduler", "entry"):
            self.cluster.settings[program]["keys"] = {"fleet": self.files["other"], "operator": self.files["operator"]}
        self.cluster.start_scheduler(wrong)
        # An entry of the fleet on the host whose scheduler has another key.
        self.cluster.settings["entry"]["keys"]["fleet"] = self.files["fleet"]
        self.cluster.start_entry(wrong)
        for host in right:
            wait_until(lambda: self.is_ready(host), f"{host.name} to take work")
        wait_until(lambda: metric(right[0].scheduler_admin, "fescuesill_probes_refused") > 0, "probes to be refused")
        wait_until(lambda: metric(wrong.scheduler_admin, "fescuesill_links_refused") > 0, "links to be refused")
        wait_until(lambda: f"link_refused from=\"{wrong.name} at" in wrong.scheduler.log(), "the entry to be named")
        wait_until(lambda: "unknown_key" in right[0].scheduler.log(), "the cause in the log")
        wait_until(lambda: "peers_refused" in json.dumps(call("GET", wrong.entry_admin, "/status")[1]["degraded"]),
                   "the mode, which the entry sets at its next look")
        self.assertFalse(self.is_ready(wrong))
        self.assertEqual(self.cluster.complete(right[0], "a log nonce=k4 .")[0], 200)
        wrong.scheduler.kill()
        self.cluster.settings["scheduler"]["keys"]["fleet"] = self.files["fleet"]
        self.cluster.start_scheduler(wrong)
        self.cluster.wait_ready()

    # A line is forgotten in the settings of a host that others reach. It must not start as if all were well.
    def test_a_reachable_process_without_a_key_does_not_start(self):
        path = self.folder / "scheduler.ini"
        admin = free_address()
        text = ("[process]\nhost = a\ndata_centre = athens\n[platform]\naddress = 127.0.0.1:1\n"
                f"[listen]\npeers = 0.0.0.0:8090\nadmin = {admin}\n")
        path.write_text(text)
        check = [binary("fescuesill-scheduler"), "--config", str(path), "--check"]
        done = subprocess.run(check, capture_output=True, text=True, timeout=60)
        self.assertEqual(done.returncode, 2)
        self.assertIn("[keys] fleet: ''; allowed: a file that others may not read", done.stderr)
        # A link is proven for the address that was dialled, so a listener with a key has to name its own.
        path.write_text(text + f"[keys]\nfleet = {self.files['fleet']}\n")
        keyed = subprocess.run(check, capture_output=True, text=True, timeout=60)
        self.assertEqual((keyed.returncode, len(keyed.stderr.splitlines())), (2, 1), keyed.stderr)
        self.assertIn("[listen] peers: '0.0.0.0:8090'; allowed: the one address that other hosts dial", keyed.stderr)
        path.write_text(text + "[keys]\nopen = yes\n")
        self.assertEqual(subprocess.run(check, capture_output=True, text=True, timeout=60).returncode, 0)
        port = free_address().split(":")[1]
        path.write_text(path.read_text().replace("0.0.0.0:8090", f"0.0.0.0:{port}"))
        process = self.cluster.run(binary("fescuesill-scheduler"), "--config", str(path))
        status = wait_until(lambda: call("GET", admin, "/status")[1], "the scheduler to answer")
        self.assertIn("peers_open", json.dumps(status["degraded"]))
        wait_until(lambda: "event=peers_open" in process.log(), "the log line")


if __name__ == "__main__":
    unittest.main()
