"""The fault soak: runs real daemons with the platform's protocols, injects faults from outside and checks the daemons'
promises by what callers and backend servers observe."""
