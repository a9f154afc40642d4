"""Starts a stand-in or a product binary, talks to it, and ends it by its process id.

    with Process(binary("fakeplatform"), "--listen", "127.0.0.1:0") as platform:
        status, body = call("GET", platform.address, "/table/rows?prefix=call/")
"""

import http.client
import itertools
import json
import os
import pathlib
import re
import signal
import socket
import subprocess
import tempfile
import threading
import time

ROOT = pathlib.Path(__file__).resolve().parents[2]
START_SECONDS = 20
WAIT_SECONDS = 30
# Files that run at the same time are given ranges that do not overlap; one that runs alone begins somewhere in all of it.
FIRST_PORT, LAST_PORT = (int(port) for port in os.environ.get("FESCUESILL_PORTS", "24000-31999").split("-"))
ports = itertools.cycle(range(FIRST_PORT, LAST_PORT + 1))
if "FESCUESILL_PORTS" not in os.environ:
    for _ in range(os.getpid() * 37 % (LAST_PORT - FIRST_PORT)):
        next(ports)


def free_address():
    """An address that nothing listens on, neither TCP nor UDP, for settings that need one before a process starts.

    The port is below the kernel's own range: no connection leaves from it before it is listened on.
    """
    for port in ports:
        try:
            with socket.socket(socket.AF_INET, socket.SOCK_STREAM) as tcp:
                tcp.bind(("127.0.0.1", port))
            with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as udp:
                udp.bind(("127.0.0.1", port))
            return f"127.0.0.1:{port}"
        except OSError:
            continue
    raise AssertionError("no free port")


def binary(name):
    build = os.environ.get("FESCUESILL_BUILD", "build")
    return str((ROOT / build / name).resolve())


def call(method, address, target, body=None, headers=None, timeout=10):
    """Returns the status and the body, parsed where it is JSON. Raises OSError or http.client.HTTPException."""
    host, port = address.rsplit(":", 1)
    connection = http.client.HTTPConnection(host, int(port), timeout=timeout)
    try:
        data = body if body is None or isinstance(body, (str, bytes)) else json.dumps(body)
        connection.request(method, target, data, headers or {})
        reply = connection.getresponse()
        text = reply.read()
        try:
            return reply.status, json.loads(text)
        except ValueError:
            return reply.status, text.decode(errors="replace")
    finally:
        connection.close()


def wait_until(condition, what, seconds=WAIT_SECONDS):
    """Waits until condition() is true; a generous limit stands for "never"."""
    end = time.monotonic() + seconds
    while time.monotonic() < end:
        try:
            result = condition()
            if result:
                return result
        except (OSError, http.client.HTTPException, KeyError, TypeError):
            pass  # not there yet
        time.sleep(0.02)
    raise AssertionError(f"never came: {what}")


def call_steadily(calls, per_second, seconds):
    """Makes each of the calls at that rate, whatever they take; what they returned."""
    answers = []
    threads = []
    end = time.monotonic() + seconds
    while time.monotonic() < end:
        for call_once in calls:
            threads.append(threading.Thread(target=lambda made=call_once: answers.append(made())))
            threads[-1].start()
        time.sleep(1 / per_second)
    for thread in threads:
        thread.join()
    return answers


class Process:
    """One running binary. What it prints, logs among it, goes to a file that is shown when a test fails."""

    def __init__(self, *command, environment=None):
        self.command = [str(part) for part in command]
        self.errors = tempfile.NamedTemporaryFile(prefix="fescuesill-", suffix=".log", delete=False)
        self.process = subprocess.Popen(self.command, stdout=self.errors, stderr=self.errors,
                                        env={**os.environ, **(environment or {})})
        self.pid = self.process.pid
        self.address = None

    def read_address(self):
        """Of a stand-in: waits for the line that names its address."""
        found = wait_until(lambda: re.search(r"listening on (\S+)\n", self.log()) or not self.is_running(), "its address",
                           START_SECONDS)
        if found is True:
            raise AssertionError(f"{self.command[0]} did not start: {self.log()}")
        self.address = found.group(1)
        return self

    def log(self):
        return pathlib.Path(self.errors.name).read_text(errors="replace")

    def is_running(self):
        return self.process.poll() is None

    def send(self, number):
        os.kill(self.pid, number)

    def kill(self):
        if self.is_running():
            self.process.kill()
        self.process.wait()

    def end(self):
        """Ends it, also when it is frozen, and waits until it is gone."""
        if self.is_running():
            self.send(signal.SIGCONT)
        self.kill()
        self.errors.close()
        os.unlink(self.errors.name)

    def __enter__(self):
        return self.read_address()

    def __exit__(self, *unused):
        self.end()
