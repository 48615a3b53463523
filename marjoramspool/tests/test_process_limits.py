"""What clients get of a process, worked out from the limits of the platform."""

import pytest

from marjoramspool.process_limits import ProcessLimits, client_limits

MEBIBYTE = 1 << 20


@pytest.mark.parametrize("memory_mb", [160, 200, 300, 552])
def test_clients_leave_memory_for_the_process_and_the_allocator(memory_mb):
    limits = client_limits(ProcessLimits(memory_mb * MEBIBYTE, 4_100))
    assert limits.request_bytes + limits.answer_bytes <= 0.75 * (memory_mb - 72) * MEBIBYTE


@pytest.mark.parametrize("descriptors", [600, 4_100, 10_933])
def test_each_client_may_have_a_connection_to_a_target(descriptors):
    limits = client_limits(ProcessLimits(300 * MEBIBYTE, descriptors))
    assert 2 * limits.connections < descriptors - 200


def test_a_small_host_still_takes_some_clients():
    limits = client_limits(ProcessLimits(MEBIBYTE, 100))
    assert limits.request_bytes >= MEBIBYTE
    assert limits.connections >= 1
