"""Processor time, memory and socket counters, read from the kernel."""

import os
import re
import subprocess

__all__ = ["SocketBytes", "cpu_seconds", "memory_bytes"]

TICKS_PER_S = os.sysconf("SC_CLK_TCK")
PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")
HEADER_BYTES = 40
COUNTER = re.compile(r"(bytes_sent|bytes_received|segs_out|segs_in):(\d+)")


def cpu_seconds(pid: int) -> float:
    """Return the processor time that a process has used."""
    with open(f"/proc/{pid}/stat") as file:
        fields = file.read().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / TICKS_PER_S


def memory_bytes(pid: int) -> int:
    """Return the resident memory of a process."""
    with open(f"/proc/{pid}/statm") as file:
        return int(file.read().split()[1]) * PAGE_BYTES


class SocketBytes:
    """Byte counts of all TCP sockets, with TCP and IP headers, selected by port."""

    def __init__(self):
        self.totals: dict[tuple[str, str], int] = {}

    def sample(self) -> None:
        """Read every TCP socket of this machine; call at least once a second."""
        text = subprocess.run(["ss", "-tniH"], capture_output=True, text=True, check=True).stdout
        ends = None
        for line in text.splitlines():
            if not line.startswith((" ", "\t")):
                ends = tuple(line.split()[3:5])
                continue
            found = {key: int(value) for key, value in COUNTER.findall(line)}
            total = found.get("bytes_sent", 0) + found.get("bytes_received", 0)
            total += HEADER_BYTES * (found.get("segs_out", 0) + found.get("segs_in", 0))
            self.totals[ends] = max(self.totals.get(ends, 0), total)

    def to_ports(self, ports: set[int]) -> int:
        """Return the bytes of the sockets whose remote port is one of a set."""
        return sum(t for (_, remote), t in self.totals.items() if port_of(remote) in ports)

    def from_ports(self, ports: set[int]) -> int:
        """Return the bytes of the sockets whose local port is one of a set."""
        return sum(t for (local, _), t in self.totals.items() if port_of(local) in ports)


def port_of(end: str) -> int:
    """Return the port of a socket address."""
    return int(end.rpartition(":")[2])
