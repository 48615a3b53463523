"""Faults of the deploy file and the settings file are reported with the key at fault."""

import msgspec
import pytest

from marjoramspool.platform.deploy import check_deploy
from marjoramspool.platform.settings import SettingsError, read_settings

ROLE = '[roles.router]\nrun = "x"\non = "front"\nserves = ["front"]\n'
SETTINGS = {
    "node_name": "front-1",
    "ip": "10.0.0.1",
    "zone": "a",
    "listen": {"front": "10.0.0.1:1", "readiness": "10.0.0.1:2"},
    "internal_ports": [10, 20],
    "platform": {"address": "10.0.0.9:3"},
}


def test_the_deploy_file_of_the_repository_is_valid():
    check_deploy("deploy/system.toml")


@pytest.mark.parametrize(
    ("text", "fault"),
    [
        ("", "build: is missing"),
        ('build = "x"', "roles: is missing or empty"),
        ('build = "x"\n[roles.r]\nrun = "x"\non = "front"', "roles.r.serves: is missing"),
        (f'build = "x"\n{ROLE}shard = 1', "roles.router.shard: is unknown"),
        (f'build = "x"\n{ROLE}share = 2.0', "roles.router.share: 2.0"),
        (f'build = "x"\n{ROLE}metrics = 7', "roles.router.metrics: 7"),
        ("=", "write a readable TOML file"),
    ],
)
def test_faults_of_a_deploy_file_are_reported(tmp_path, text, fault):
    path = tmp_path / "system.toml"
    path.write_text(text)
    with pytest.raises(SettingsError, match=fault):
        check_deploy(str(path))


@pytest.mark.parametrize(
    ("changes", "fault"),
    [
        ({"listen": {"front": "x", "readiness": "10.0.0.1:2"}}, "listen.front"),
        ({"platform": {"address": "10.0.0.9"}}, "platform.address"),
        ({"platform": 7}, "platform"),
        ({"internal_ports": ["a", "b"]}, "internal_ports"),
    ],
)
def test_faults_of_settings_are_reported(tmp_path, changes, fault):
    path = tmp_path / "settings.json"
    path.write_bytes(msgspec.json.encode(SETTINGS | changes))
    with pytest.raises(SettingsError, match=fault):
        read_settings(str(path))


def test_unknown_settings_are_ignored(tmp_path):
    path = tmp_path / "settings.json"
    path.write_bytes(msgspec.json.encode(SETTINGS | {"new": [1], "bounds": {"x": 1}}))
    assert read_settings(str(path)).peers_port == 10
