"""The Raft consensus algorithm as a state machine: events in, effects out."""
