"""Seeds that broke a promise once, with what the cause was."""

SEEDS = {
    9: "a start reached a new incarnation before its first heartbeat; the run was given up",
    20: "the same with a gang",
}
