"""Buddy blocks of accelerators: aligned power-of-two blocks, as bit masks of one worker."""

from __future__ import annotations

import functools

MAX_ORDER = 7
"""Order of the largest block; accelerators of a worker beyond the first 128 are not used."""

ORDERS = range(MAX_ORDER + 1)


def order_of(accelerators: int) -> int:
    """Return the order of the smallest block that holds this many accelerators."""
    return (accelerators - 1).bit_length()


def full_mask(accelerators: int) -> int:
    """Return the mask of all usable accelerators of a worker."""
    return (1 << min(accelerators, 1 << MAX_ORDER)) - 1


def enclosing_mask(accelerators: tuple[int, ...], order: int = 0) -> int:
    """Return the mask of the smallest block of at least ``order`` that contains the indices."""
    if not accelerators:
        return 0
    low, high = min(accelerators), max(accelerators)
    order = max(order, (low ^ high).bit_length())
    return ((1 << (1 << order)) - 1) << (low >> order << order)


@functools.lru_cache(maxsize=65536)
def maximal_blocks(mask: int) -> tuple[tuple[int, int], ...]:
    """Return the maximal aligned blocks of ``mask`` as (order, offset), smallest first."""
    blocks = []
    offset = 0
    length = mask.bit_length()
    while offset < length:
        order = -1
        while (
            order < MAX_ORDER
            and offset % (2 << order if order >= 0 else 1) == 0
            and _contains_block(mask, order + 1, offset)
        ):
            order += 1
        if order >= 0:
            blocks.append((order, offset))
        offset += 1 << max(order, 0)
    return tuple(sorted(blocks))


@functools.lru_cache(maxsize=65536)
def count_blocks(mask: int) -> tuple[int, ...]:
    """Return the number of maximal blocks of ``mask`` for each order up to ``MAX_ORDER``."""
    result = [0] * (MAX_ORDER + 1)
    for order, _ in maximal_blocks(mask):
        result[order] += 1
    return tuple(result)


@functools.lru_cache(maxsize=65536)
def allocatable(mask: int) -> tuple[int, ...]:
    """Return for each order how many disjoint blocks can be allocated from ``mask``.

    Each number holds on its own: it assumes that blocks of no other order are allocated.
    """
    blocks = maximal_blocks(mask)
    return tuple(
        sum(1 << (order - wanted) for order, _ in blocks if order >= wanted)
        for wanted in range(MAX_ORDER + 1)
    )


@functools.lru_cache(maxsize=65536)
def best_fit(mask: int, order: int) -> tuple[int, int]:
    """Return the mask of a free block of ``order`` and the order of the block it is split from.

    The smallest sufficient block is split, which keeps larger blocks whole. The mask is 0 when
    no block is large enough.
    """
    for found, offset in maximal_blocks(mask):
        if found >= order:
            return ((1 << (1 << order)) - 1) << offset, found
    return 0, 0


def indices(mask: int, count: int) -> tuple[int, ...]:
    """Return the indices of the first ``count`` accelerators of a block."""
    start = (mask & -mask).bit_length() - 1
    return tuple(range(start, start + count))


def _contains_block(mask: int, order: int, offset: int) -> bool:
    block = ((1 << (1 << order)) - 1) << offset
    return mask & block == block
