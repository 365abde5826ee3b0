"""Not a case: no page names such a job as a disruption.

A scheduled job of 2,000,000 occurrences (one a second for 23 days) is accepted.
The pages give an entry 260 MB and kill it beyond. Here each may use 1 GB of address
space. Prints what each entry used at most, or its exit code where it has ended.
TROUBLE=0: 6 occurrences.
"""

import asyncio
import resource
import sys
import tempfile
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "lib"))
from site_lite import main  # noqa: E402

LIMIT_BYTES = 1 << 30
MEMORY_MB = 260
AHEAD_S = 3600


async def scenario(site, trouble):
    for entry in site.entries:
        resource.prlimit(entry.child.pid, resource.RLIMIT_AS, (LIMIT_BYTES, LIMIT_BYTES))
    step = {"count": 1, "cpu": 240, "mem_mb": 100, "estimate_ms": 500, "work_s": 0.5}
    job = await site.submit([step], schedule={
        "repeat_count": 2_000_000 if trouble else 6, "interval_ms": 1000,
        "start_at_ms": int((time.time() + AHEAD_S) * 1000)})
    await asyncio.sleep(15.0)
    site.record(f"{job} is {await site.state(job)}")
    found = []
    for entry in site.entries:
        if entry.child.poll() is not None:
            found.append(f"{entry.name} has ended with {entry.child.returncode}")
            continue
        status = Path(f"/proc/{entry.child.pid}/status").read_text()
        peak_mb = int(status.split("VmHWM:")[1].split()[0]) // 1024
        print(f"{entry.name} used {peak_mb} MB at most")
        if peak_mb > MEMORY_MB:
            found.append(f"{entry.name} used {peak_mb} MB")
    return found


sys.exit(main(Path(tempfile.mkdtemp()), scenario, workers=1))
