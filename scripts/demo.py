"""The demo behind `make demo`; demo.sh says what it does."""

import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "testing" / "process"))

from cluster import Cluster  # noqa: E402
from standin import call, wait_until  # noqa: E402

LOAD_SECONDS = 20
KILL_AFTER_SECONDS = 8


def print_cluster(cluster):
    print("platform   ", cluster.platform.address)
    for name, (address, data_centre, role) in cluster.engines.items():
        print(f"{role:<11} {address}  {name} in {data_centre}")
    for name, (address, data_centre) in cluster.applications.items():
        print(f"endpoint    {address}  {name} in {data_centre}")
    for host in cluster.hosts:
        print(f"host        {host.callers}  {host.name} in {host.data_centre}, admin {host.entry_admin}")


def apply_declaration(cluster):
    path = pathlib.Path(cluster.folder.name) / "services.ini"
    path.write_text(cluster.declaration())
    applied = cluster.ctl("apply", str(path), "--platform", cluster.platform.address, "--author", "demo",
                          "--reason", "first services")
    print(applied.stdout + applied.stderr, end="")
    if applied.returncode != 0:
        raise SystemExit("the declaration was not accepted")


def main():
    with Cluster(decode_engines=2) as cluster:
        cluster.start_standins()
        print_cluster(cluster)
        for host in cluster.hosts:
            cluster.start_scheduler(host)
            cluster.start_entry(host)
        for host in cluster.hosts:
            wait_until(lambda: call("GET", host.entry_admin, "/healthz")[0] == 200, f"{host.name} to start")
        apply_declaration(cluster)
        cluster.wait_ready()

        print(f"\n{LOAD_SECONDS} s of mixed load; after {KILL_AFTER_SECONDS} s the entry of one host is killed")
        load = cluster.start_load("--seconds", str(LOAD_SECONDS), "--rate", "15",
                                  "--output-tokens", "400", *sys.argv[1:])
        time.sleep(KILL_AFTER_SECONDS)
        victim = cluster.hosts[1]
        victim.entry.kill()
        print(f"killed the entry of {victim.name}\n", flush=True)
        code, output = cluster.finish_load(load)
        print(output, end="")
        return code


if __name__ == "__main__":
    sys.exit(main())
