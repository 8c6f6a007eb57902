"""Library for writing monsoonlift's configuration as code.

Build a `Configuration`, then print `to_yaml(configuration)` and submit it with `monsoonctl submit`.
"""
from monsoonlift.checks import Fault, InvalidConfiguration, check
from monsoonlift.model import Account, Call, Caller, Configuration, Execution, Retries, Service
from monsoonlift.yaml_text import to_yaml

__all__ = [
    "Account", "Call", "Caller", "Configuration", "Execution", "Fault", "InvalidConfiguration", "Retries",
    "Service", "check", "to_yaml",
]
