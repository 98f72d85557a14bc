"""Stand-in of the platform's limit on the memory of a process."""

import asyncio
import re
from pathlib import Path

MEMORY_CHECK_S = 0.05
RESTART_DELAY_S = 0.5


class MemoryWatch:
    """Kill a process that uses more memory than it has, and start it again."""

    def __init__(self, program, record):
        self.peak_mb = 0.0
        self.kills = 0
        self._program = program
        self._record = record
        self._limit_mb = program.settings["limits"]["memoryMb"]

    def __str__(self):
        return f"{self._program.name} took up to {self.peak_mb:.0f} MB"

    async def run(self):
        """Check the resident memory until cancelled."""
        while True:
            used_mb = _resident_mb(self._program.process.pid)
            self.peak_mb = max(self.peak_mb, used_mb)
            if used_mb > self._limit_mb:
                self._record.write(f"platform: {self}, over {self._limit_mb}: killed")
                self._program.kill()
                self.kills += 1
                await asyncio.sleep(RESTART_DELAY_S)
                self._program.start()
            await asyncio.sleep(MEMORY_CHECK_S)


def _resident_mb(pid):
    text = Path(f"/proc/{pid}/status").read_text()
    match = re.search(r"VmRSS:\s*(\d+) kB", text)
    return int(match[1]) / 1024 if match else 0.0
