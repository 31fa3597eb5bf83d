"""Measures the memory, processor time and loopback traffic of single processes.

Traffic comes from the kernel's counters of each TCP connection (`ss`), because /proc/PID/io does
not count socket calls and /proc/net/dev also counts the traffic of other users of the machine.
"""
import os
import re
import subprocess
import time

TICKS_PER_SECOND = os.sysconf("SC_CLK_TCK")
PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")
TRAFFIC_FIELDS = ("bytes_sent", "bytes_received", "data_segs_out", "data_segs_in")


def resident_kb(pid):
    """Resident memory without file-backed pages, which processes on one machine share."""
    with open(f"/proc/{pid}/statm", encoding="ascii") as statm:
        _, resident, shared = [int(field) for field in statm.read().split()[:3]]
    return (resident - shared) * PAGE_BYTES / 1024


def total_resident_kb(pid):
    """Resident memory with file-backed pages, as a memory limit of the platform counts it."""
    with open(f"/proc/{pid}/statm", encoding="ascii") as statm:
        return int(statm.read().split()[1]) * PAGE_BYTES / 1024


def processor_seconds(pid):
    with open(f"/proc/{pid}/stat", encoding="ascii") as stat:
        fields = stat.read().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / TICKS_PER_SECOND


def threads(pid):
    return len(os.listdir(f"/proc/{pid}/task"))


def connections(pids):
    """Counters of the open TCP connections of each process, by pair of addresses."""
    listing = subprocess.run(["ss", "-tinpHO"], capture_output=True, text=True, check=True).stdout
    found = {pid: {} for pid in pids}
    for line in listing.splitlines():
        owner = re.search(r"pid=(\d+),", line)
        if not owner or int(owner.group(1)) not in found:
            continue
        columns = line.split()
        counters = {}
        for field in TRAFFIC_FIELDS:
            match = re.search(rf"\b{field}:(\d+)", line)
            counters[field] = int(match.group(1)) if match else 0
        found[int(owner.group(1))][(columns[3], columns[4])] = counters
    return found


def traffic(before, after, ports=None):
    """Growth of the counters; with `ports`, only of connections that use one of these ports.

    The traffic of connections that were closed in between is not included.
    """
    total = dict.fromkeys(TRAFFIC_FIELDS, 0)
    for pair, counters in after.items():
        ends = {int(address.rsplit(":", 1)[1]) for address in pair}
        if ports is not None and not ends & ports:
            continue
        earlier = before.get(pair, {})
        for field in TRAFFIC_FIELDS:
            total[field] += counters[field] - earlier.get(field, 0)
    return total


def read_use(pids):
    """Processor time and connections of the processes, with the times of reading."""
    processor = {pid: (time.monotonic(), processor_seconds(pid)) for pid in pids}
    return processor, time.monotonic(), connections(pids)


def observe(pids, seconds, ports=None):
    """Resource use of each process over some seconds; traffic as rates per second."""
    processor_before, listed_before, open_before = read_use(pids)
    time.sleep(seconds)
    processor_after, listed_after, open_after = read_use(pids)
    rows = {}
    for pid in pids:
        growth = traffic(open_before[pid], open_after[pid], ports)
        elapsed = processor_after[pid][0] - processor_before[pid][0]
        used = processor_after[pid][1] - processor_before[pid][1]
        rows[pid] = {"seconds": round(elapsed, 2), "core_share": round(used / elapsed, 5),
                     "private_kb": round(resident_kb(pid)),
                     "resident_kb": round(total_resident_kb(pid)),
                     "threads": threads(pid),
                     **{f"{field}_per_s": round(growth[field] / (listed_after - listed_before), 1)
                        for field in TRAFFIC_FIELDS}}
    return rows


def slope(points):
    """Least-squares slope and intercept of (x, y) points."""
    count = len(points)
    mean_x = sum(x for x, _ in points) / count
    mean_y = sum(y for _, y in points) / count
    spread = sum((x - mean_x) ** 2 for x, _ in points)
    rise = sum((x - mean_x) * (y - mean_y) for x, y in points) / spread
    return {"slope": rise, "intercept": mean_y - rise * mean_x}


def load_average():
    return [round(value, 1) for value in os.getloadavg()]
