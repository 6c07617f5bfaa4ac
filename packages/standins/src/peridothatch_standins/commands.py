"""Commands that a worker runs, as sequences of steps that can be saved and resumed."""

from __future__ import annotations

import dataclasses
import hashlib
import math
import typing


@dataclasses.dataclass(frozen=True, slots=True)
class Work:
    """Progress of a command.

    Attributes
    ----------
    done, total : float
        Number of steps done and in total; for ``sleep``, seconds.
    partial : str
        Intermediate result, from which the command can be resumed.
    """

    done: float
    total: float
    partial: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class Failure:
    """Reason why a command ended without a result."""

    detail: str


AdvanceFunction = typing.Callable[[tuple[str, ...], Work, int, float], Work]


def begin(command: tuple[str, ...]) -> Work | Failure:
    """Return the initial progress of a command, or the reason why it cannot run."""
    try:
        return _begin(command)
    except (ValueError, IndexError):
        return Failure(f"bad command: {' '.join(command)[:200]}")


def advance(command: tuple[str, ...], work: Work, steps: int, seconds: float) -> Work:
    """Run up to ``steps`` steps; ``sleep`` advances by ``seconds`` instead."""
    return _ADVANCE_FUNCTIONS[command[0]](command, work, steps, seconds)


def finished(work: Work) -> bool:
    """Return whether all steps are done."""
    return work.done >= work.total


def result(work: Work) -> str:
    """Return the result of a finished command."""
    return work.partial


def _begin(command: tuple[str, ...]) -> Work | Failure:
    name = command[0]
    if name == "fail":
        return Failure("the command fails on purpose")
    if name == "primes":
        return Work(0, float(int(command[1])), "0")
    if name == "sleep":
        seconds = float(command[1])
        return Work(0, seconds, "slept") if math.isfinite(seconds) else Failure("endless sleep")
    if name == "lot-certificate":
        start = hashlib.sha256(command[1].encode()).hexdigest()
        return Work(0, float(int(command[2])), start)
    return Failure(f"unknown command {name[:50]!r}")


def _primes(_command: tuple[str, ...], work: Work, steps: int, _seconds: float) -> Work:
    end = min(work.done + steps, work.total)
    found = sum(_is_prime(number) for number in range(int(work.done), int(end)))
    return Work(end, work.total, str(int(work.partial) + found))


def _is_prime(number: int) -> bool:
    if number < 4:
        return number >= 2
    return number % 2 == 1 and all(number % i for i in range(3, math.isqrt(number) + 1, 2))


def _lot_certificate(command: tuple[str, ...], work: Work, steps: int, _seconds: float) -> Work:
    end = min(work.done + steps, work.total)
    digest = work.partial
    for part in range(int(work.done), int(end)):
        digest = hashlib.sha256(f"{digest}:{command[1]}:{part}".encode()).hexdigest()
    return Work(end, work.total, digest)


def _sleep(_command: tuple[str, ...], work: Work, _steps: int, seconds: float) -> Work:
    return dataclasses.replace(work, done=min(work.done + seconds, work.total))


_ADVANCE_FUNCTIONS: dict[str, AdvanceFunction] = {
    "primes": _primes,
    "sleep": _sleep,
    "lot-certificate": _lot_certificate,
}
