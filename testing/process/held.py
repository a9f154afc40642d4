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
        status = pathlib.Path(f"/proc/{self.pid}/status").read_text(encoding="ascii")
        own = int(re.search(r"VmRSS:\s+(\d+) kB", status).group(1)) * 1024
        peak = int(re.search(r"VmHWM:\s+(\d+) kB", status).group(1)) * 1024
        self.peak_bytes = max(self.peak_bytes, peak, own + unread_bytes(self.ports))
        self.peak_files = max(self.peak_files, len(list(pathlib.Path(f"/proc/{self.pid}/fd").iterdir())))

    def run(self):
        while not self.stopped.wait(EVERY_SECONDS):
            try:
                self.look()
            except (OSError, AttributeError):
                return  # the process has ended

    def end(self):
        self.stopped.set()
        self.join()
