"""Stand-ins for the systems that heathertack serves, and experiments on them."""
