"""The paths of one gateway to the endpoints, which a test can cut while the other gateways keep theirs.

    paths = Paths(folder, "g1", platform.endpoints)
    gateway = Gateway(folder, "g1", platform.address, paths=paths)
    paths.cut("hang")          # new connections hang, and what is sent on open ones is lost
    paths.cut("reset")         # new connections are refused, open ones are reset
    paths.cut("refuse")        # new connections are refused, open ones live on
    paths.cut("hang", endpoints)  # only to these
    paths.heal()
    paths.limit(40_000)        # bytes a second, each way, of all connections together
    paths.add_links([other.peers])  # their proxies are in `links`, which cut() and heal() leave as they are
"""

import contextlib
import pathlib
import socket

from proxy import Link, Proxy

KINDS = ("hang", "reset", "refuse")
# Connections that fill the backlog of a listener, so that the kernel drops what comes after them.
FILLING_CONNECTIONS = 4


class Paths:
    def __init__(self, folder, name, endpoints):
        self.file = pathlib.Path(folder) / f"{name}.paths"
        self.proxies = {endpoint.address: Proxy(endpoint.address) for endpoint in endpoints}
        self.links = {}
        self.silent = socket.socket()
        self.silent.bind(("127.0.0.1", 0))
        self.silent.listen(0)
        self.filling = [socket.socket() for _ in range(FILLING_CONNECTIONS)]
        for connection in self.filling:
            connection.setblocking(False)
            with contextlib.suppress(BlockingIOError):
                connection.connect(self.silent.getsockname())
        self.silent_address = "%s:%d" % self.silent.getsockname()  # connections to it hang
        self.closed = socket.socket()  # bound and not listening: connections to it are refused
        self.closed.bind(("127.0.0.1", 0))
        self.heal()

    @property
    def environment(self):
        return {"FESCUESILL_TEST_PATHS": str(self.file)}

    def redirect(self, target_of):
        targets = {address: target_of(address) for address in self.proxies}
        targets.update((address, proxy.address) for address, proxy in self.links.items())
        lines = "".join(f"{address} {target}\n" for address, target in targets.items())
        fresh = self.file.with_suffix(".new")
        fresh.write_text(lines)
        fresh.replace(self.file)

    def cut(self, kind, endpoints=None):
        lost = self.proxies if endpoints is None else [endpoint.address for endpoint in endpoints]
        target = self.silent_address if kind == "hang" else "%s:%d" % self.closed.getsockname()
        self.redirect(lambda address: target if address in lost else self.proxies[address].address)
        for proxy in (self.proxies[address] for address in lost):
            if kind == "hang":
                proxy.mode = "silent"
            elif kind == "reset":
                proxy.reset()

    def add_links(self, addresses):
        """To other gateways, through proxies from the next connection on."""
        self.links.update((address, Proxy(address)) for address in addresses)
        self.heal()

    def limit(self, bytes_per_second):
        links = (Link(bytes_per_second), Link(bytes_per_second))
        for proxy in self.proxies.values():
            proxy.links = links

    def heal(self):
        for proxy in self.proxies.values():
            if proxy.mode != "pass":
                proxy.mode = "pass"
                proxy.reset()  # what was lost on the way leaves no half messages behind
        self.redirect(lambda address: self.proxies[address].address)

    def end(self):
        for proxy in (*self.proxies.values(), *self.links.values()):
            proxy.end()
        for each in (self.silent, self.closed, *self.filling):
            each.close()
