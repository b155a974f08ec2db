"""Stand-ins and helpers that the review's cases share; they need the standard library only."""
