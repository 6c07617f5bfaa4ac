"""Seeds that violated an invariant in the past, with the cause."""

SEEDS = {
    9: "a start reached a new incarnation before its first heartbeat, and the run was abandoned",
    20: "the same with a gang",
}
