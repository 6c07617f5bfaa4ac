"""Order of waiting jobs by the slack to their targets."""
