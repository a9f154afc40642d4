"""The whole system on one machine: stand-ins, and an entry and a scheduler for each host, in three data centres.

    with Cluster() as cluster:
        cluster.start()
        status, reply = cluster.complete(cluster.hosts[0], "a log nonce=n1 .")
        cluster.hosts[1].entry.kill()
"""

import http.client
import json
import pathlib
import subprocess
import tempfile

from standin import Process, binary, call, free_address, wait_until

DATA_CENTRES = ("athens", "piraeus", "marousi")
MODEL = "motor-verdict-7b"


def section(name, **keys):
    return f"[{name}]\n" + "".join(f"{key} = {value}\n" for key, value in keys.items()) + "\n"


class Host:
    """One of our hosts: its addresses, settings files and two processes."""

    def __init__(self, name, data_centre):
        self.name = name
        self.data_centre = data_centre
        self.callers, self.entry_admin = free_address(), free_address()
        self.peers, self.scheduler_admin = free_address(), free_address()
        self.entry = None
        self.scheduler = None

    def listed(self, state="live"):
        """As the platform's host list has it."""
        return {"host": self.name, "data_centre": self.data_centre, "entry": self.callers, "scheduler": self.peers,
                "entry_admin": self.entry_admin, "scheduler_admin": self.scheduler_admin, "state": state}


class Cluster:
    def __init__(self, engine_flags=("--speed", "5"), decode_engines=1, pieces=20, settings=None, hosts=DATA_CENTRES):
        self.folder = tempfile.TemporaryDirectory(prefix="fescuesill-")
        self.processes = []
        self.engine_flags = ("--pieces", str(pieces), *engine_flags)
        self.pieces = pieces
        self.decode_engines = decode_engines
        # Additions to the settings files: {"entry": {"drain": {"limit": "5s"}}, "scheduler": {...}}.
        self.settings = settings or {}
        self.hosts = [Host(f"{data_centre}-h{number}", data_centre) for number, data_centre in enumerate(hosts)]
        self.engines = {}  # name: (address, data centre, role)
        self.applications = {}  # name: (address, data centre)
        self.platform = None
        self.paths = {}  # (program, host): a paths.Paths, for programs whose paths to endpoints a test cuts

    # Starting and ending.

    def run(self, *command):
        process = Process(*command)
        self.processes.append(process)
        return process

    def start_standins(self, platform_flags=()):
        self.platform = self.run(binary("fakeplatform"), *platform_flags).read_address()
        for data_centre in DATA_CENTRES:
            self.start_engine(f"{data_centre}-p1", data_centre, "prefill")
            for number in range(self.decode_engines):
                self.start_engine(f"{data_centre}-d{number + 1}", data_centre, "decode")
            application = self.run(binary("fakeengine"), "--app").read_address()
            self.applications[f"records-{data_centre}"] = (application.address, data_centre)
        self.set_hosts()

    def start_engine(self, name, data_centre, role):
        flags = ("--role", role, "--model", MODEL, *self.engine_flags)
        engine = self.run(binary("fakeengine"), *flags).read_address()
        self.engines[name] = (engine.address, data_centre, role)

    def start(self):
        """Starts all and waits until every entry takes work."""
        self.start_standins()
        self.put_declaration(self.declaration())
        for host in self.hosts:
            self.start_scheduler(host)
            self.start_entry(host)
        self.wait_ready()

    def start_scheduler(self, host):
        others = ", ".join(other.peers for other in self.hosts if other is not host)
        sections = {"process": {"host": host.name, "data_centre": host.data_centre},
                    "listen": {"peers": host.peers, "admin": host.scheduler_admin},
                    "platform": {"address": self.platform.address, "version_poll": "200ms", "host_list_poll": "500ms"},
                    "peers": {"seeds": others, "probe_period": "200ms"},
                    "engines": {"load_poll": "100ms", "stream_poll": "500ms"},
                    "resume": {"grace": "3s"}}
        host.scheduler = self.run_program("scheduler", host, sections)

    def start_entry(self, host):
        sections = {"process": {"host": host.name, "data_centre": host.data_centre},
                    "listen": {"callers": host.callers, "admin": host.entry_admin},
                    "platform": {"address": self.platform.address},
                    "scheduler": {"address": host.peers}}
        host.entry = self.run_program("entry", host, sections)

    def run_program(self, name, host, sections):
        paths = self.paths.get((name, host.name))
        program = binary(f"{name}-with-test-paths" if paths else f"fescuesill-{name}")
        settings = self.write(name, host, sections)
        process = Process(program, "--config", settings, environment=paths.environment if paths else None)
        self.processes.append(process)
        return process

    def write(self, program, host, sections):
        for name, keys in self.settings.get(program, {}).items():
            sections.setdefault(name, {}).update(keys)
        path = pathlib.Path(self.folder.name) / f"{program}-{host.name}.ini"
        path.write_text("".join(section(name, **keys) for name, keys in sections.items()))
        return path

    def wait_ready(self):
        """Waits until each entry takes work and has the keys that make its streams resumable."""
        def is_ready(host):
            modes = [mode["mode"] for mode in call("GET", host.entry_admin, "/status")[1]["degraded"]]
            return call("GET", host.entry_admin, "/readyz")[0] == 200 and "no_resume_keys" not in modes
        for host in self.hosts:
            wait_until(lambda: is_ready(host), f"{host.name} to take work")

    def __enter__(self):
        return self

    def __exit__(self, *unused):
        self.end()

    def end(self):
        for process in reversed(self.processes):
            process.end()
        self.processes.clear()
        self.folder.cleanup()

    # The platform's side.

    def set_hosts(self, leaving=()):
        hosts = [host.listed("leaving" if host in leaving else "live") for host in self.hosts]
        call("POST", self.platform.address, "/hosts", {"hosts": hosts, "lag_ms": 0})

    def fault(self, **fault):
        call("POST", self.platform.address, "/faults", fault)

    def put_declaration(self, text):
        """Writes the first version straight into the table, as `fescuesillctl apply` does."""
        record = {"version": 1, "author": "test", "reason": "first", "change_id": "first", "text": text}
        write = {"key": "config/current", "value": json.dumps(record), "if_version": 0}
        assert call("POST", self.platform.address, "/table/commit", {"writes": [write]})[0] == 200

    def declaration(self):
        text = "".join(section(f"data_centre {name}", region="attica") for name in DATA_CENTRES)
        for name, (address, data_centre, role) in self.engines.items():
            text += section(f"engine {name}", address=address, data_centre=data_centre, model=MODEL, role=role,
                            pieces=self.pieces, checks_fencing="yes")
        for name, (address, data_centre) in self.applications.items():
            text += section(f"endpoint {name}", address=address, data_centre=data_centre)
        text += section("class urgent", rank=0, first_token="300ms", patience="2s")
        text += section("class live", rank=1, first_token="300ms", patience="1s")
        text += section("class patient", rank=2, first_token="5s", per_token="71ms", patience="30s", waste_weight=4)
        records = ", ".join(self.applications)
        text += section("service diagnoses", **{"class": "patient", "kind": "model", "model": MODEL, "max_output": 100000})
        text += section("service bookings", **{"class": "urgent", "kind": "plain", "route": "/bookings", "methods": "POST",
                                               "endpoints": records, "repeatable": "no", "result_query": "yes"})
        return text + section("service lookups", **{"class": "live", "kind": "plain", "route": "/lookups",
                                                    "methods": "GET", "endpoints": records, "repeatable": "yes"})

    # The callers' side.

    def decode_addresses(self):
        return [address for address, _, role in self.engines.values() if role == "decode"]

    def owner(self, data_centre, seen_by):
        """The host that an entry takes for the owner of the data centre's cell; None where it knows none."""
        cells = call("GET", seen_by.entry_admin, "/status")[1]["cells"]
        names = [cell["owner"] for cell in cells if cell["data_centre"] == data_centre]
        return next((host for host in self.hosts if host.name in names), None)

    def application_addresses(self):
        return [address for address, _ in self.applications.values()]

    def complete(self, host, prompt, tokens=20, workspace="w1", **more):
        body = {"model": MODEL, "prompt": prompt, "max_tokens": tokens, **more}
        return call("POST", host.callers, "/v1/completions", body, {"X-Workspace": workspace}, timeout=60)

    def book(self, host, key, workspace="w1", repeat=False, timeout=30):
        headers = {"X-Workspace": workspace, "Idempotency-Key": key, **({"X-Repeat": "1"} if repeat else {})}
        return call("POST", host.callers, "/bookings", {"item": key}, headers, timeout=timeout)

    def executions(self, key):
        """How often a booking ran, over all endpoints."""
        histories = [call("GET", address, "/history")[1]["executions"] for address in self.application_addresses()]
        return sum(execution["key"] == key for history in histories for execution in history)

    def streams(self):
        """Every stream that holds memory on some engine."""
        return [stream for address in self.decode_addresses()
                for stream in call("GET", address, "/v1/streams")[1]["streams"]]

    def load_command(self, *flags):
        entries = ",".join(f"{host.callers}/{host.entry_admin}" for host in self.hosts)
        return [binary("loadtool"), "--entries", entries, "--applications", ",".join(self.application_addresses()),
                "--engines", ",".join(self.decode_addresses()), "--model", MODEL, *flags]

    def history_file(self):
        return str(pathlib.Path(self.folder.name) / "history.jsonl")

    def start_load(self, *flags):
        """Runs the load tool at the side; finish_load() gives its exit code and what it printed."""
        load = Process(*self.load_command("--history", self.history_file(), *flags))
        self.processes.append(load)
        return load

    @staticmethod
    def finish_load(load):
        load.process.wait()
        output = load.log()
        return load.process.wait(), output

    def ctl(self, *arguments):
        """Runs fescuesillctl against this cluster."""
        return subprocess.run([binary("fescuesillctl"), *arguments], capture_output=True, text=True, timeout=90)


class EventStream:
    """A caller's server-sent events, read one by one.

        stream = EventStream(host, "a log nonce=n1 .", tokens=400)
        stream.read(10)
        rest = stream.resume(other_host).read()     # to the end
    """

    def __init__(self, host, prompt, tokens, workspace="w1", last_event_id=None):
        self.workspace, self.prompt, self.tokens = workspace, prompt, tokens
        self.last_event_id = last_event_id
        address, port = host.callers.split(":")
        self.connection = http.client.HTTPConnection(address, int(port), timeout=60)
        headers = {"X-Workspace": workspace}
        if last_event_id is None:
            body = {"model": MODEL, "prompt": prompt, "max_tokens": tokens, "stream": True}
            self.connection.request("POST", "/v1/completions", json.dumps(body), headers)
        else:
            self.connection.request("GET", "/v1/streams", headers={**headers, "Last-Event-ID": last_event_id})
        self.response = self.connection.getresponse()
        self.status = self.response.status
        self.is_done = False

    def read(self, events=None):
        """The text of so many events, or of all up to the end or the break of the connection."""
        text = ""
        seen = 0
        try:
            while events is None or seen < events:
                raw = self.response.readline()
                if not raw:
                    break  # the end, or where the connection broke
                line = raw.decode().rstrip("\n")
                if line.startswith("id: "):
                    self.last_event_id = line[4:]
                elif line == "data: [DONE]":
                    self.is_done = True
                    break
                elif line.startswith("data: "):
                    seen += 1
                    choices = json.loads(line[6:]).get("choices", [])
                    text += choices[0].get("text", "") if choices else ""
        except (OSError, http.client.HTTPException):
            pass  # broken: the caller goes on elsewhere
        return text

    def resume(self, host):
        return EventStream(host, self.prompt, self.tokens, self.workspace, self.last_event_id)

    def close(self):
        self.response.close()
        self.connection.close()


def history(path):
    """The outcomes and replies of a load run."""
    lines = [json.loads(line) for line in pathlib.Path(path).read_text().splitlines()]
    return ([line for line in lines if line["event"] == "outcome"],
            [line for line in lines if line["event"] == "reply"])
