#!/usr/bin/env python3
"""Random faults against gateways as processes, with callers that go on all the while.

    soak.py --seed 7 --seconds 10              one run, with $FESCUESILL_BUILD
    soak.py --first-seed 1000 --rounds 50      a line for each seed; faults and logs of those that failed are kept
    soak.py --rounds 50                        the same with new seeds

Some seeds have many hosts and engines, unless --hosts is given.

Processes are stopped, frozen, killed and started again by signals; what goes to the store and to plain endpoints goes
through proxies that delay, silence, cut one way, refuse and reset; hosts lose their paths to endpoints; engines of two
software versions serve, one of which may join while a host stands still, and callers take up streams that broke off; endpoints
crash, also under requests that crash each that answers them, break off, also within answers that end with their connection, fall silent, refuse, add bytes and state
limits, ask hosts for rest, say that they leave, send without an end; entries lapse and come back, configurations
change, keys are revoked while their callers go on, the store loses answers and forgets. Links between gateways and to
engines are harmed too, and engines end within their streams, behind ports that close late or that stay, as a proxy's does.
Signals and configurations come in series. Faults overlap. A run fails if a promise to a caller was broken (checker.py,
workspaces.py), or if not everybody is served again after the last fault.
"""

import argparse
import contextlib
import http.client
import pathlib
import random
import signal
import sys
import tempfile
import threading
import time

ROOT = pathlib.Path(__file__).resolve().parents[2]
sys.path.insert(0, str(ROOT / "testing" / "process"))
sys.path.insert(0, str(ROOT / "testing" / "soak"))

# pylint: disable=wrong-import-position
from callers import Callers  # noqa: E402
from checker import check  # noqa: E402
from gatewayprocess import SIZE, Gateway, send  # noqa: E402
from paths import KINDS, Paths  # noqa: E402
from proxy import MODES, WITHOUT_TARGET, Proxy  # noqa: E402
from standin import wait_until  # noqa: E402
from userplatform import ENDLESS, EVENTS, UserPlatform, route  # noqa: E402
from workspaces import SETTINGS, Workspaces  # noqa: E402

LOAD_SETTINGS = "[streams]\nlatest_event_ms = 200\n[endpoints]\nshared_slots = yes\n"
GRACE_SECONDS = 3
LONGEST_FAULT_SECONDS = 3.0
PLAIN_FAULTS = ("cut", "mute", "error", "full", "extra", "other_id", "encoded", "unframed")
DECODE_FAULTS = ("half", "full")
VARIANTS = {"unframed": ("unframed", "unframed_reset"), "half": ("half", "half_reset", "empty")}
WRITER_VERSIONS = ("v1", "v2", "v1")
UNFRAMED_SHARE = 0.5  # of the decode engines: their streams end with their connection
IN_ORDER_SHARE = 0.5  # of them: their connections end in order when they end
PORTS = ("down", "late", "stays")  # of an engine that ends, as its hosts see it
PORT_SECONDS = (0.05, 1.5)  # from the end of an engine's connections to that of its port
PAUSE_SECONDS = (0.02, 0.05, 0.1)  # between events
ENDED_SECONDS = (0.1, 2.0)  # of an engine that ended within its streams
MOST_WAIT_SECONDS = 0.5  # for a stream to end
SERIES_SHARE = 0.3
LARGE_SHARE = 0.2  # of the seeds
SMALL_SIZE = (3, 3, 2)  # hosts, decode and prefill engines
FINDINGS_SHOWN = 3  # in the line of a seed
LARGE_HOSTS, LARGE_ENGINES = (6, 8), (9, 3)
MOST_ROUTES_MORE = 3000  # a whole configuration of them is some 600 KB
SLOW_BYTES_PER_SECOND = (150_000, 1_000_000)  # of a host's link to the store
MOST_LIMIT = 20.0  # calls a second
CONTACT_SECONDS = 3.0  # from the end of an outage of the store until all hosts must know what changed
DOWN_SECONDS = (0.1, 0.8)  # of an endpoint that crashed
REST_SECONDS = (0.2, 2.0)
NEEDS = {"booking": ("plain",), "llm": ("hold", "prefill", "generate")}  # kinds of requests that endpoints turn away
ENDLESS_NEEDS = {"booking": ("plain",), "llm": ("hold", "prefill")}  # and that they answer without an end
DEADLY = "dead"  # what is called so, in a prompt or a path, crashes each endpoint that begins to answer it
MOST_CRASHES = {"/write/": 5 + 3, "/look/": 3 + 3}  # by a part of a prompt, and by a request; each with three more
DEADLY_TRIES = 14
ENDS_AFTER_SECONDS = 1.5  # a decode engine whose entry is gone or draining for longer has left
LATE_RUNS_SECONDS = 1.0  # a call that was refused must not run later either
ROUTES = [route("/book/", "unsafe", "booking"), route("/look/", "safe", "booking", max_attempts=2),
          route("/write/", "stream", "llm"), route("/resume/", "stream", "llm", max_attempts=2, resumable=True)]


class Soak:
    def __init__(self, seed, size, folder, do_ports_last_in_checks=False):
        hosts, writers, readers = size
        self.do_ports_last, self.do_ports_last_in_checks = True, do_ports_last_in_checks
        self.chance = random.Random(seed)
        self.platform = UserPlatform()
        self.plain = [self.platform.endpoint("booking") for _ in range(3)]
        self.proxies = []
        for endpoint in self.plain:
            self.proxies.append(Proxy(endpoint.address))
            endpoint.address = self.proxies[-1].address
            self.platform.register(endpoint)
        self.readers = [self.platform.endpoint("llm", "prefill") for _ in range(readers)]
        versions = WRITER_VERSIONS + ("v1",) * (writers - len(WRITER_VERSIONS))
        self.writers = [self.platform.endpoint("llm", "decode", version) for version in versions]
        framing_chance = random.Random(f"{seed}-framing")  # of its own, so that seeds keep their other faults
        for writer in self.writers:
            writer.is_framed = framing_chance.random() >= UNFRAMED_SHARE
            writer.ends_in_order = framing_chance.random() < IN_ORDER_SHARE
        self.join_chance = random.Random(f"{seed}-join")
        self.joining = self.join_chance.choice((None, self.writers[1]))  # the only engine of its version
        if self.joining:
            self.platform.remove(self.joining)
        self.routes = ROUTES
        self.workspaces = Workspaces()
        self.configuring = threading.Lock()
        self.configure()
        self.stores = [Proxy(self.platform.address) for _ in range(hosts)]
        self.path_chance = random.Random(f"{seed}-paths")  # of its own, so that seeds keep their other faults
        self.key_chance = random.Random(f"{seed}-keys")
        self.paths = [Paths(folder, f"g{number}", self.platform.endpoints) for number in range(hosts)]
        self.gateways = [Gateway(folder, f"g{number}", store.address, GRACE_SECONDS, first_start=True, paths=paths,
                                 more=SETTINGS + LOAD_SETTINGS)
                         for number, (store, paths) in enumerate(zip(self.stores, self.paths))]
        for paths, gateway in zip(self.paths, self.gateways):
            paths.add_links([address for other in self.gateways if other is not gateway
                             for address in (other.peers, other.tunnels)])
        self.busy = [threading.Lock() for _ in self.gateways]  # a process has one fault of its own at a time
        for number, endpoint in enumerate(self.platform.endpoints):
            endpoint.crashes_on = self.is_deadly
            for proxy in self.proxies_of(number, endpoint):
                endpoint.on_back.insert(0, proxy.come_up)
                if endpoint not in self.writers:
                    endpoint.on_crash.append(proxy.go_down)
        self.port_chance = random.Random(f"{seed}-ports")
        self.ports = [self.port_of(writer) for writer in self.writers]
        self.link_chance, self.series_chance = random.Random(f"{seed}-links"), random.Random(f"{seed}-series")
        self.crash_chance = random.Random(f"{seed}-crashes")
        self.need_chance = random.Random(f"{seed}-needs")
        self.callers = Callers(self.gateways, seed, count=3 * hosts, key_for=self.workspaces.key_for)
        self.own_calls = []
        self.log = [f"{writer.name}: {'framed' if writer.is_framed else 'unframed'}, port {port}"
                    for writer, port in zip(self.writers, self.ports)]

    def play(self, seconds):
        for gateway in self.gateways:
            wait_until(gateway.is_ready, "a gateway to be ready")
        self.callers.start()
        end = time.monotonic() + seconds
        faults = [threading.Thread(target=fault, args=(end,), daemon=True)
                  for fault in (self.path_faults, self.key_faults, self.crash_faults, self.need_faults, self.join_fault,
                                self.end_faults, self.link_faults, self.series_faults)]
        for fault in faults:
            fault.start()
        while time.monotonic() < end:
            kind = self.chance.choice((self.signal_fault, self.signal_fault, self.store_fault, self.endpoint_fault,
                                       self.engine_fault, self.entry_fault, self.platform_fault, self.limit_fault))
            lasts = self.chance.uniform(0.1, LONGEST_FAULT_SECONDS)
            faults.append(threading.Thread(target=kind, args=(random.Random(self.chance.random()), lasts), daemon=True))
            faults[-1].start()
            time.sleep(self.chance.uniform(0.05, 0.6))
        for fault in faults:
            fault.join()
        findings = self.findings_of(self.check_recovery)
        if not findings:  # the other checks need everybody to be served
            self.do_ports_last = self.do_ports_last_in_checks
            findings += self.findings_of(self.check_crashing, "/write/") + self.findings_of(self.check_crashing, "/look/")
            findings += self.findings_of(self.check_leaving)
        self.callers.stop()
        time.sleep(LATE_RUNS_SECONDS)
        findings += check(self.callers.calls, self.platform.endpoints, self.own_calls)
        return findings + self.workspaces.check(self.callers.calls, self.platform.endpoints)

    @staticmethod
    def findings_of(check_one, *arguments):
        try:
            check_one(*arguments)
        except AssertionError as error:
            return [str(error)]
        return []

    def proxies_of(self, number, endpoint):
        own = [proxy for proxy in self.proxies[number:number + 1] if endpoint in self.plain]
        return own + [paths.proxies[endpoint.address] for paths in self.paths]

    def port_of(self, writer):
        """How the port of a decode engine ends, once it has ended. Its proxies pass on an end in order, and resets."""
        chance = self.port_chance
        kind, seconds, without_target = chance.choice(PORTS), chance.uniform(*PORT_SECONDS), chance.choice(WITHOUT_TARGET)
        if kind != "down":
            writer.ends_in_order = True
        if not writer.is_framed:
            writer.pause_seconds = chance.choice(PAUSE_SECONDS)
        for proxy in (paths.proxies[writer.address] for paths in self.paths):
            proxy.without_target = without_target
            writer.on_crash.append(lambda ending=proxy: self.end_port(writer, ending, kind, seconds))
        return f"{kind} {seconds:.2f} {without_target}" if kind == "late" else f"{kind} {without_target}"

    def end_port(self, writer, proxy, kind, seconds):
        if kind == "down" or not self.do_ports_last:
            proxy.go_down()
        elif kind == "late":
            timer = threading.Timer(seconds, self.end_port_of_start, (writer, writer.crashes, proxy))
            timer.daemon = True
            timer.start()

    @staticmethod
    def end_port_of_start(writer, start, proxy):
        if writer.crashing.locked() and writer.crashes == start:
            proxy.go_down()

    @staticmethod
    def is_deadly(request, _):
        parts = [part.split(":")[0] for part in request.headers.get("X-Prompt-Prefix", "").split(",")]
        return any(part.startswith(DEADLY) for part in parts[:-1]) or DEADLY in request.path

    def note(self, *words):
        self.log.append(f"{time.monotonic():.3f} " + " ".join(map(str, words)))

    def signal_fault(self, chance, lasts):
        number = chance.randrange(len(self.gateways))
        if not self.busy[number].acquire(blocking=False):
            return
        gateway = self.gateways[number]
        kind = chance.choice(("freeze", "kill", "stop", "hup"))
        self.note(kind, gateway.name, f"{lasts:.2f}")
        try:
            if kind == "freeze":
                gateway.send(signal.SIGSTOP)
                time.sleep(lasts)
                gateway.send(signal.SIGCONT)
            elif kind == "hup":
                gateway.send(signal.SIGHUP)
            else:
                if kind == "stop":
                    gateway.send(signal.SIGTERM)
                    gateway.process.wait(timeout=GRACE_SECONDS + 10)
                else:
                    gateway.kill()
                    time.sleep(lasts / 3)
                gateway.start_again()
        finally:
            self.busy[number].release()

    def proxy_fault(self, proxy, chance, lasts):
        mode = chance.choice(MODES + ("reset",))
        self.note("proxy", proxy.address, mode, f"{lasts:.2f}")
        self.harm([proxy], mode, lasts)

    @staticmethod
    def harm(proxies, mode, lasts):
        for proxy in proxies:
            if mode == "reset":
                proxy.reset()
            else:
                proxy.mode = mode
        if mode == "reset":
            return
        time.sleep(lasts)
        for proxy in proxies:
            proxy.mode = "pass"
            if mode != "delay":
                proxy.reset()  # what was lost on the way leaves no half messages behind

    def store_fault(self, chance, lasts):
        proxies = chance.sample(self.stores, chance.randint(1, len(self.stores)))
        if chance.random() < 0.3:
            self.slow_links(proxies, chance, lasts)
            return
        for proxy in proxies:
            threading.Thread(target=self.proxy_fault, args=(proxy, chance, lasts), daemon=True).start()
        time.sleep(lasts + 0.1)

    def path_faults(self, end):
        """Hosts lose their paths to all endpoints or to those of one service: one, some or all of them."""
        chance = self.path_chance
        while time.monotonic() < end:
            time.sleep(chance.uniform(0, 2))
            cut = chance.sample(self.paths, chance.randint(1, len(self.paths)))
            service = chance.choice((None, None, "booking", "llm"))
            endpoints = [each for each in self.platform.endpoints if service in (None, each.service)]
            kind, lasts = chance.choice(KINDS), chance.uniform(0.1, LONGEST_FAULT_SECONDS)
            self.note("paths of", len(cut), "hosts", kind, service, f"{lasts:.2f}")
            for paths in cut:
                paths.cut(kind, endpoints)
            time.sleep(lasts)
            for paths in cut:
                paths.heal()

    def crash_faults(self, end):
        """Endpoints crash by themselves, and under requests that callers repeat or that share a part."""
        chance = self.crash_chance
        while time.monotonic() < end:
            time.sleep(chance.uniform(0, 1))
            endpoint = chance.choice(self.plain + self.writers)
            endpoint.down_seconds = chance.uniform(*DOWN_SECONDS)
            kind = chance.choice(("crash", "/write/", "/look/"))
            self.note("crash of", endpoint.name, "by", kind, f"{endpoint.down_seconds:.2f}")
            if kind == "crash":
                endpoint.crash()
            else:
                self.send_deadly(chance.choice(self.gateways), kind, "during")

    def end_faults(self, end):
        """Decode engines end while they write, one or one after the other: first of all those whose answers end with their
        connection."""
        chance = self.port_chance
        writers = [writer for writer in self.writers if not writer.is_framed] or self.writers
        while time.monotonic() < end:
            time.sleep(chance.uniform(0, 1))
            ending = chance.sample(writers, chance.randint(1, len(writers)) if chance.random() < SERIES_SHARE else 1)
            for writer in ending:
                writer.down_seconds = chance.uniform(*ENDED_SECONDS)
                self.wait_for_stream(writer)
                time.sleep(chance.uniform(0, EVENTS * writer.pause_seconds))
                self.note("end of", writer.name, f"{writer.down_seconds:.2f}")
                writer.crash()
        for writer in writers:
            writer.down_seconds = min(writer.down_seconds, DOWN_SECONDS[1])

    @staticmethod
    def wait_for_stream(writer):
        before = len(writer.seen)
        with contextlib.suppress(AssertionError):  # nobody calls it
            wait_until(lambda: len(writer.seen) > before, "a stream", MOST_WAIT_SECONDS)

    def link_faults(self, end):
        """Links between gateways, or from gateways to decode engines, are harmed, a few or all of them."""
        chance = self.link_chance
        between = [proxy for paths in self.paths for proxy in paths.links.values()]
        to_engines = [paths.proxies[writer.address] for paths in self.paths for writer in self.writers]
        while time.monotonic() < end:
            time.sleep(chance.uniform(0, 2))
            links = chance.choice((between, to_engines)) if between else to_engines
            harmed = chance.sample(links, chance.randint(1, len(links)))
            mode, lasts = chance.choice(MODES + ("reset",)), chance.uniform(0.1, LONGEST_FAULT_SECONDS / 2)
            self.note("links", "to engines" if links is to_engines else "between hosts", len(harmed), mode, f"{lasts:.2f}")
            self.harm(harmed, mode, lasts)

    def series_faults(self, end):
        """Signals to several hosts and configurations, each soon after the last."""
        chance = self.series_chance
        while time.monotonic() < end:
            time.sleep(chance.uniform(0, 5))
            signals = []
            for _ in range(chance.randint(2, max(2, len(self.gateways) // 2))):
                arguments = (random.Random(chance.random()), chance.uniform(0.1, 1))
                signals.append(threading.Thread(target=self.signal_fault, args=arguments, daemon=True))
                signals[-1].start()
                self.configure()
                time.sleep(chance.uniform(0, 0.3))
            for each in signals:
                each.join()

    def need_faults(self, end):
        """Endpoints ask for rest, say that they leave, or send without an end."""
        chance = self.need_chance
        while time.monotonic() < end:
            time.sleep(chance.uniform(0, 1))
            endpoint = chance.choice(self.plain + self.writers + self.readers)
            need, lasts = chance.choice(("rest", "leave", "endless")), chance.uniform(0.1, 1)
            self.note(endpoint.name, need, f"{lasts:.2f}")
            if need == "rest":
                endpoint.rest_seconds = chance.uniform(*REST_SECONDS)
                endpoint.rests = frozenset(NEEDS[endpoint.service])
            elif need == "endless":
                endpoint.endless = {kind: chance.choice(tuple(ENDLESS)) for kind in ENDLESS_NEEDS[endpoint.service]}
            else:
                endpoint.states_leaving = True
            time.sleep(lasts)
            endpoint.rests, endpoint.endless = frozenset(), {}
            if endpoint.states_leaving:
                endpoint.states_leaving = False
                endpoint.crash()  # it comes back as a new start

    def join_fault(self, end):
        """A version joins while a host stands still and has a slow store."""
        if not self.joining:
            return
        chance = self.join_chance
        time.sleep(chance.uniform(0, max(0, end - time.monotonic()) / 2))
        number = chance.randrange(len(self.gateways))
        gateway, store, lasts = self.gateways[number], self.stores[number], chance.uniform(0.1, LONGEST_FAULT_SECONDS)
        with self.busy[number]:
            self.note("join of", self.joining.name, "while", gateway.name, "stands still", f"{lasts:.2f}")
            store.mode = "delay"
            gateway.send(signal.SIGSTOP)
            self.platform.register(self.joining, born=int(time.time() * 1000))
            time.sleep(lasts)
            gateway.send(signal.SIGCONT)
            time.sleep(LONGEST_FAULT_SECONDS / 2)
            store.mode = "pass"

    def send_deadly(self, gateway, path, name):
        """A request that crashes who answers it: by its first part, no two alike, or by all of it, each the same."""
        self.own_calls.append(f"deadly-{len(self.own_calls)}")
        headers = {**SIZE, "X-Prompt-Prefix": f"{DEADLY}-{name}:100,{self.own_calls[-1]}:100"} if path == "/write/" else {}
        with contextlib.suppress(OSError, http.client.HTTPException):
            send(gateway.callers, "GET", path + (name if path == "/write/" else f"{DEADLY}-{name}"),
                 X_Request_Id=self.own_calls[-1], Authorization="Bearer " + self.workspaces.steady_key, **headers)

    # Guards against requests that crash endpoints and are sent to one after the other, or that stop others with them.
    def check_crashing(self, path):
        wait_until(lambda: not any(each.crashing.locked() for each in self.platform.endpoints), "all endpoints to be back")
        before = sum(each.crashes for each in self.platform.endpoints)
        for number in range(DEADLY_TRIES):
            self.send_deadly(self.gateways[number % len(self.gateways)], path, "after")
            time.sleep(0.1)
        ended = sum(each.crashes for each in self.platform.endpoints) - before
        if ended > MOST_CRASHES[path]:
            raise AssertionError(f"{ended} endpoints ended under {DEADLY_TRIES} requests to {path}")
        for gateway in self.gateways:
            wait_until(lambda: self.is_served(gateway, path, {"X_Prompt_Prefix": "f1:200,s:100", **SIZE}),
                       f"{gateway.name} to serve sound requests to {path}")

    def configure(self):
        with self.configuring:
            self.platform.configure(self.routes, self.workspaces.rows())

    def key_faults(self, end):
        """Keys are revoked, whatever else goes on."""
        chance = self.key_chance
        while time.monotonic() < end:
            time.sleep(chance.uniform(0, 3))
            revoked = self.workspaces.replace_key()
            self.note("revoke", revoked.text)
            self.configure()
            self.workspaces.on_acknowledged(revoked)

    def slow_links(self, proxies, chance, lasts):
        self.note("slow links", len(proxies), f"{lasts:.2f}")
        for proxy in proxies:
            proxy.bytes_per_second = chance.randint(*SLOW_BYTES_PER_SECOND)
        time.sleep(2 * lasts)
        for proxy in proxies:
            proxy.bytes_per_second = None

    def endpoint_fault(self, chance, lasts):
        if chance.random() < 0.4:
            self.proxy_fault(chance.choice(self.proxies), chance, lasts)
        else:
            self.behave(chance.choice(self.plain), self.variant_of(chance.choice(PLAIN_FAULTS), chance), lasts)

    def engine_fault(self, chance, lasts):
        self.behave(chance.choice(self.writers), self.variant_of(chance.choice(DECODE_FAULTS), chance), lasts)

    @staticmethod
    def variant_of(behaviour, chance):
        """Drawn last, so that seeds keep their other faults."""
        return chance.choice(VARIANTS.get(behaviour, (behaviour,)))

    def behave(self, endpoint, behaviour, lasts):
        self.note(endpoint.name, behaviour, f"{lasts:.2f}")
        endpoint.behave = behaviour
        time.sleep(lasts)
        endpoint.behave = "ok"

    def limit_fault(self, chance, lasts):
        endpoint = chance.choice(self.plain + self.writers)
        endpoint.limit = round(chance.uniform(0, MOST_LIMIT), 1)
        self.note("limit of", endpoint.name, endpoint.limit, f"{lasts:.2f}")
        time.sleep(lasts)
        endpoint.limit = None

    def entry_fault(self, chance, lasts):
        endpoint = chance.choice(self.platform.endpoints)
        self.note("entry of", endpoint.name, f"{lasts:.2f}")
        if chance.random() < 0.5:
            self.platform.remove(endpoint)
        else:
            self.platform.register(endpoint, state="draining")
        time.sleep(lasts)
        if endpoint.stage == "decode" and lasts > ENDS_AFTER_SECONDS:
            endpoint.crash()  # it leaves as announced, and comes back
            return
        self.platform.register(endpoint, born=int(time.time() * 1000))

    def platform_fault(self, chance, lasts):
        kind = chance.choice(("down", "forget", "lose", "storm", "silence", "grow"))
        self.note("store", kind, f"{lasts:.2f}")
        if kind == "down":
            self.platform.store.is_down = True
            time.sleep(lasts)
            self.platform.store.is_down = False
        elif kind == "forget":
            self.platform.store.forget_history()
        elif kind == "lose":
            self.platform.lose_answers(chance.randint(1, 4))
        elif kind == "silence":
            self.platform.silence_open_connections()
        elif kind == "grow":
            more = chance.randint(1, MOST_ROUTES_MORE)
            self.routes = ROUTES + [route(f"/more-{number}/", "safe", "booking") for number in range(more)]
            self.configure()
        else:
            for _ in range(chance.randint(2, 8)):
                self.configure()
                time.sleep(lasts / 8)

    def check_recovery(self):
        """Everybody is served again: each kind of call on each host, by the newest configuration."""
        for proxy in self.proxies + self.stores:
            proxy.mode = "pass"
        self.routes = self.routes + [route("/newest/", "safe", "booking", max_attempts=2)]
        self.configure()
        for gateway in self.gateways:
            wait_until(gateway.is_ready, f"{gateway.name} to be ready again")
            for path, headers in (("/look/", {}), ("/write/", SIZE), ("/newest/", {})):
                wait_until(lambda: self.is_served(gateway, path, headers), f"{gateway.name} to serve {path}")

    # Guards against hosts that keep an endpoint which left while they could not read the store.
    def check_leaving(self):
        """An endpoint leaves during an outage of the store, and gets no calls once the hosts have been in contact again."""
        gone = self.plain[0]
        for proxy in self.stores:
            proxy.mode = "silent"
        time.sleep(self.chance.uniform(0, LONGEST_FAULT_SECONDS))
        self.platform.remove(gone)
        time.sleep(self.chance.uniform(0, LONGEST_FAULT_SECONDS))
        for proxy in self.stores:
            proxy.mode = "pass"
        time.sleep(CONTACT_SECONDS)
        since = time.time()
        time.sleep(LATE_RUNS_SECONDS)
        late = [run for run in gone.seen if run["at"] > since]
        if late:
            raise AssertionError(f"{len(late)} calls to {gone.name}, which has left")

    def is_served(self, gateway, path, headers):
        self.own_calls.append(f"after-{len(self.own_calls)}")
        return send(gateway.callers, "GET", path + "x", X_Request_Id=self.own_calls[-1],
                    Authorization="Bearer " + self.workspaces.steady_key, **headers)[0] == 200

    def end(self):
        for gateway in self.gateways:
            gateway.end()
        for each in self.proxies + self.stores + self.paths:
            each.end()
        self.platform.__exit__()


def size_of(seed):
    """Hosts, decode and prefill engines."""
    chance = random.Random(f"{seed}-size")
    return (chance.randint(*LARGE_HOSTS), *LARGE_ENGINES) if chance.random() < LARGE_SHARE else SMALL_SIZE


def run(seed, seconds, hosts=None, keep=None, do_ports_last_in_checks=False):
    """The findings; where there are any, the faults and the gateways' logs are kept in that folder. Without `hosts`, the
    seed decides on the size."""
    with tempfile.TemporaryDirectory() as folder:
        soak = Soak(seed, size_of(seed) if hosts is None else (hosts, *SMALL_SIZE[1:]), folder,
                    do_ports_last_in_checks)
        try:
            return play(soak, seed, seconds, keep)
        finally:
            soak.end()


def play(soak, seed, seconds, keep):
    try:
        findings = soak.play(seconds)
    except AssertionError as error:
        findings = [str(error)]
    served = sum(call.status == 200 and call.is_whole for call in soak.callers.calls)
    print(f"soak: seed {seed}: {len(soak.gateways)} hosts, {len(soak.callers.calls)} calls, {served} served, "
          f"{len(findings)} findings" + "".join(f" | {finding}" for finding in findings[:FINDINGS_SHOWN]), flush=True)
    if findings and keep:
        store = pathlib.Path(keep) / f"seed-{seed}"
        store.mkdir(parents=True, exist_ok=True)
        (store / "faults.txt").write_text("\n".join(soak.log + findings), encoding="utf-8")
        for gateway in soak.gateways:
            (store / f"{gateway.name}.log").write_text(gateway.log(), encoding="utf-8")
    return findings


def main():
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--seed", type=int)
    parser.add_argument("--first-seed", type=int)
    parser.add_argument("--rounds", type=int, default=1)
    parser.add_argument("--seconds", type=float, default=8)
    parser.add_argument("--hosts", type=int, help="with three decode engines; by default the seed decides")
    parser.add_argument("--ports-last", action="store_true",
                        help="ports close late or stay also while the ends under requests that crash engines are counted")
    parser.add_argument("--keep", default="soak-findings", help="folder for the logs of a run that failed")
    options = parser.parse_args()
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(1))  # ends the gateways, which would call ports of a later run
    failed = []
    for number in range(options.rounds):
        seed = options.seed if options.seed is not None else random.SystemRandom().randrange(1 << 31)
        if options.first_seed is not None:
            seed = options.first_seed + number
        if run(seed, options.seconds, options.hosts, options.keep, options.ports_last):
            failed.append(seed)
    print(f"soak: {options.rounds} rounds, {len(failed)} failed", *failed)
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
