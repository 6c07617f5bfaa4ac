"""Seeds that broke a promise once, with what the cause was."""

SEEDS = {
    9: "a start reached the new life of a worker before its check-in; the run was given up",
    20: "the same with a gang",
}
