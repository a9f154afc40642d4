"""What a process holds for those who send to it: its memory, what its sockets have received unread, and its descriptors.

    held = Held(gateway.pid, [gateway.callers])
    ... load ...
    held.end()
    held.peak_bytes, held.peak_files
"""

import pathlib
import re
import threading

EVERY_SECONDS = 0.05


def memory_kb(pid, field):
    """VmRSS: now; VmHWM: at its peak."""
    status = pathlib.Path(f"/proc/{pid}/status").read_text(encoding="ascii")
    return int(re.search(rf"{field}:\s+(\d+) kB", status).group(1))


def open_files(pid):
    return len(list(pathlib.Path(f"/proc/{pid}/fd").iterdir()))


def unread_bytes(ports):
    """Of all connections to these local ports."""
    total = 0
    for line in pathlib.Path("/proc/net/tcp").read_text(encoding="ascii").splitlines()[1:]:
        fields = line.split()
        if fields[3] == "01" and int(fields[1].rpartition(":")[2], 16) in ports:  # ESTABLISHED
            total += int(fields[4].partition(":")[2], 16)
    return total


class Held(threading.Thread):
    def __init__(self, pid, addresses):
        super().__init__(daemon=True)
        self.pid, self.ports = pid, {int(address.rpartition(":")[2]) for address in addresses}
        self.peak_bytes = self.peak_files = 0
        self.stopped = threading.Event()
        self.start()

    def look(self):
        now = memory_kb(self.pid, "VmRSS") * 1024 + unread_bytes(self.ports)
        self.peak_bytes = max(self.peak_bytes, memory_kb(self.pid, "VmHWM") * 1024, now)
        self.peak_files = max(self.peak_files, open_files(self.pid))

    def run(self):
        while not self.stopped.wait(EVERY_SECONDS):
            try:
                self.look()
            except (OSError, AttributeError):
                return  # the process has ended

    def end(self):
        self.stopped.set()
        self.join()
