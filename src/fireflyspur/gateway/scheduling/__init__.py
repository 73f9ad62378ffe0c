"""Choice of engines from what is in flight on them."""
