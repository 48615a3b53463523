"""Validation of the deploy file."""

import tomllib
from pathlib import Path

from marjoramspool.platform.settings import SettingsError

__all__ = ["check_deploy"]

ROLE_KEYS = {
    "run": str,
    "on": str,
    "share": float,
    "count": int,
    "serves": list,
    "metrics": str,
    "template": str,
    "env": dict,
    "apart": bool,
}
REQUIRED_KEYS = ("run", "on", "serves")


def check_deploy(path: str) -> None:
    """Validate a deploy file; raise SettingsError with the key, the fault and the remedy."""
    try:
        deploy = tomllib.loads(Path(path).read_text())
    except (OSError, tomllib.TOMLDecodeError) as error:
        raise SettingsError(f"{path}: {error}; write a readable TOML file") from error
    if not isinstance(deploy.get("build"), str):
        raise SettingsError(f"{path}: build: is missing; name the command that builds")
    roles = deploy.get("roles")
    if not isinstance(roles, dict) or not roles:
        raise SettingsError(f"{path}: roles: is missing or empty; add a table [roles.NAME]")
    for name, role in roles.items():
        check_role(path, name, role)


def check_role(path: str, name: str, role: dict) -> None:
    """Validate one role; raise SettingsError."""
    for key in REQUIRED_KEYS:
        if key not in role:
            raise SettingsError(f"{path}: roles.{name}.{key}: is missing; add it")
    for key, value in role.items():
        expected_type = ROLE_KEYS.get(key)
        if expected_type is None:
            known = ", ".join(ROLE_KEYS)
            raise SettingsError(f"{path}: roles.{name}.{key}: is unknown; use {known}")
        if not isinstance(value, (int, float) if expected_type is float else expected_type):
            raise SettingsError(
                f"{path}: roles.{name}.{key}: {value!r}; use type {expected_type.__name__}"
            )
    share = role.get("share", 1.0)
    if not 0 < share <= 1:
        raise SettingsError(
            f"{path}: roles.{name}.share: {share}; use a number above 0 and at most 1"
        )
