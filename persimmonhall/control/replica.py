"""Append commands to the log and apply them."""

from returns.result import Failure, Result, Success

from persimmonhall.control.machine import StateMachine
from persimmonhall.control.messages import COMMANDS, Command, CommandReply
from persimmonhall.control.storage import LogFile
from persimmonhall.errors import ErrorKind, Refusal, refuse
from persimmonhall.ids import LogIndex


class Replica:
    """Serve commands and reads of the replicated state."""

    def __init__(self, log: LogFile, records: tuple[bytes, ...]):
        self._log = log
        self._machine = StateMachine()
        for record in records:
            self._apply(COMMANDS.decode(record))

    @property
    def machine(self) -> StateMachine:
        """Return the replicated state."""
        return self._machine

    async def submit(self, command: Command) -> Result[CommandReply, Refusal]:
        """Sync a command to the log, apply it and return its reply."""
        match self._log.append(COMMANDS.encode(command)):
            case Failure(reason):
                return Failure(refuse(ErrorKind.STORAGE_FAILED, reason))
        return Success(self._apply(command))

    def _apply(self, command: Command) -> CommandReply:
        return self._machine.apply(command, LogIndex(self._machine.index + 1))
