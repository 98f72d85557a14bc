"""Start, signal and stop the processes of an experiment."""

import json
import os
import signal
import subprocess
import sys
from dataclasses import dataclass, field
from functools import partial
from pathlib import Path

import trio

from persimmonhall.address import Address, parse_address

CLOCK_TICKS_PER_S = os.sysconf("SC_CLK_TCK")
READY_TIMEOUT_S = 20.0
STOP_TIMEOUT_S = 45.0


def toml_text(tables: dict) -> str:
    """Return nested tables of plain values as TOML."""
    lines: list[str] = []
    for key, value in tables.items():
        if not _is_table(value):
            lines.append(f"{key} = {json.dumps(value)}")
    for key, value in tables.items():
        if isinstance(value, dict):
            lines += [f"[{key}]", toml_text(value)]
        elif _is_table(value):
            for item in value:
                lines += [f"[[{key}]]", toml_text(item)]
    return "\n".join(lines)


def _is_table(value: object) -> bool:
    if isinstance(value, list):
        return bool(value) and isinstance(value[0], dict)
    return isinstance(value, dict)


@dataclass
class RunningProcess:
    """Control a started process; keep the addresses that it printed."""

    name: str
    process: trio.Process
    addresses: dict[str, Address]
    log_path: Path
    settings_path: Path
    module: str
    is_stopping: bool = False

    @property
    def cpu_time_s(self) -> float:
        """Return the CPU seconds that the process has used."""
        stat = Path(f"/proc/{self.process.pid}/stat").read_text()
        # The process name in parentheses may contain spaces.
        fields = stat.rpartition(")")[2].split()
        return (int(fields[11]) + int(fields[12])) / CLOCK_TICKS_PER_S

    def kill(self) -> None:
        """Kill the process."""
        self.process.kill()

    def suspend(self) -> None:
        """Suspend the process with SIGSTOP."""
        self.process.send_signal(signal.SIGSTOP)

    def resume(self) -> None:
        """Resume the process."""
        self.process.send_signal(signal.SIGCONT)

    async def terminate(self) -> int:
        """Send SIGTERM and return the exit status."""
        self.is_stopping = True
        self.process.send_signal(signal.SIGTERM)
        with trio.fail_after(STOP_TIMEOUT_S):
            return await self.process.wait()


@dataclass
class Processes:
    """Manage the processes of an experiment and their files in one folder."""

    nursery: trio.Nursery
    folder: Path
    running: dict[str, RunningProcess] = field(default_factory=dict)

    async def start(
        self, name: str, module: str, settings: dict, *options: str
    ) -> RunningProcess:
        """Start a module with settings and wait until it is ready."""
        path = self.folder / f"{name}.toml"
        path.write_text(toml_text(settings))
        return await self._start(name, module, path, options)

    async def restart(self, running: RunningProcess, *options: str) -> RunningProcess:
        """Restart an ended process with the same settings."""
        return await self._start(
            running.name, running.module, running.settings_path, options
        )

    async def _start(
        self, name: str, module: str, path: Path, options: tuple[str, ...]
    ) -> RunningProcess:
        log = self.folder / f"{name}.log"
        command = [sys.executable, "-m", module, "--settings", str(path), *options]
        with log.open("ab") as stream:
            start = partial(
                trio.run_process,
                command,
                stdout=subprocess.PIPE,
                stderr=stream,
                check=False,
            )
            process = await self.nursery.start(start)
        addresses = await _read_addresses(process, log)
        running = RunningProcess(name, process, addresses, log, path, module)
        self.running[name] = running
        return running

    async def run_load(self, settings: dict) -> dict:
        """Run persimmonhall-load and return its figures."""
        path = self.folder / "load.toml"
        path.write_text(toml_text(settings))
        command = [sys.executable, "-m", "persimmonhall.cli.load"]
        command += ["--settings", str(path), "--json"]
        completed = await trio.run_process(command, capture_stdout=True)
        return json.loads(completed.stdout)

    async def stop(self) -> None:
        """Kill every process and wait until it ended."""
        with trio.CancelScope(shield=True), trio.move_on_after(STOP_TIMEOUT_S):
            for running in self.running.values():
                if running.process.returncode is None:
                    running.kill()
            for running in self.running.values():
                await running.process.wait()


async def _read_addresses(process: trio.Process, log: Path) -> dict[str, Address]:
    data = b""
    with trio.move_on_after(READY_TIMEOUT_S):
        while not data.endswith(b"\n"):
            part = await process.stdout.receive_some()
            if not part:
                break
            data += part
    if not data.endswith(b"\n"):
        process.kill()
        raise RuntimeError(f"{log.name}: not ready: {log.read_text()[-2000:]}")
    fields = json.loads(data)["ready"]
    return {name: parse_address(text).unwrap() for name, text in fields.items()}
