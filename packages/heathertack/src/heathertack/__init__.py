"""Decision logic of heathertack: pure state machines without sockets or clocks."""
