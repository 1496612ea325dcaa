"""The emulator: fleets of real reducers, with simulated servers, network and clients, in simulated time."""
