"""Messages between peridothatch processes: codec, frames, connections and mailboxes."""
