"""Guards against unstable shards, wrong owners and work placed on drained failure domains."""

from dataclasses import replace

from jacinthcove.mesh.peers import Member, MemberState
from jacinthcove.scheduling.placement import MIN_SHARDS, Placement, shard_targets
from jacinthcove.store.vms import VmList
from jacinthcove.targets.table import Pool, TargetTable
from scheduling.fakes import FakeMembers, fleet_config, router_vms, target_vms


def build(routers=4, targets=12, shares=None):
    config = fleet_config(shares or {"w": 1.0})
    table = TargetTable()
    table.update_vms(VmList(1, router_vms(routers) + target_vms(targets)))
    listed = [Member(v.id, v.address, v.address, v.failure_domain) for v in router_vms(routers)]
    members = FakeMembers(listed, "r0")
    return table, members, Placement(table, members, lambda: config)


def test_every_target_is_in_one_shard_with_an_owner_in_its_domain():
    table, members, placement = build()
    placement.refresh()
    owned = [target for shard in placement.shards.values() for target in shard.targets]
    assert sorted(owned) == sorted(table.targets)
    for shard in placement.shards.values():
        assert members.get(shard.owner).failure_domain == shard.pool.failure_domain
        assert len(shard.targets) <= 3


def test_a_dead_router_changes_only_the_owners_of_its_shards():
    _, members, placement = build()
    placement.refresh()
    before = dict(placement.shards)
    members.set_state("r1", MemberState.DEAD)
    assert placement.refresh()
    assert not placement.refresh()
    for name, shard in placement.shards.items():
        assert shard.targets == before[name].targets
        assert shard.owner != "r1"
        if before[name].owner != "r1":
            assert shard.owner == before[name].owner
    assert placement.visible_fraction() == 0.75


def test_a_new_target_moves_few_others():
    pool = Pool("draft", "v1", "a")
    targets = tuple(f"t{i}" for i in range(60))
    before = shard_targets(pool, targets, 4)
    after = shard_targets(pool, (*targets, "new"), 4)
    home = {target: name for name, ids in after.items() for target in ids}
    moved = [t for name, ids in before.items() for t in ids if home[t] != name]
    assert len(moved) < 20


def test_a_larger_share_gives_a_workspace_more_shards():
    _, _, placement = build(16, 32, {"w": 1.0, "large": 3.0, "rest": 8.0})
    small = placement.shards_of("w", "draft", "v1")
    large = placement.shards_of("large", "draft", "v1")
    assert len(small) == MIN_SHARDS < len(large)
    assert placement.shards_of("w", "draft", "v1") == small
    assert placement.shards_of("w", "draft", "v2") == ()


def test_a_domain_is_excluded_while_it_is_drained():
    table, _, placement = build()
    table.update_config(fleet_config({"w": 1.0}, drained="a"))
    domains = {s.pool.failure_domain for s in placement.shards_of("w", "draft", "v1")}
    assert domains == {"b"}
    table.update_config(fleet_config({"w": 1.0}))
    assert len(placement.shards_of("w", "draft", "v1")) == MIN_SHARDS


def test_the_target_table_is_updated_from_the_vm_list():
    table, _, _ = build(targets=2)
    revision = table.revision
    table.update_vms(VmList(2, router_vms(4) + target_vms(2)))
    assert table.revision == revision
    leaving, other = target_vms(2)
    table.update_vms(VmList(3, (replace(leaving, leaving=True), replace(other, version="v2"))))
    assert not table.targets["t0"].accepts_requests
    pools = {Pool("draft", "v1", "a"): ("t0",), Pool("draft", "v2", "b"): ("t1",)}
    assert table.pools == pools
    table.update_vms(VmList(4, ()))
    assert not table.targets
    assert not table.pools


def test_shards_of_a_domain_without_routers_are_owned_in_another_domain():
    # Targets must stay in use when all routers of their failure domain are dead.
    _, members, placement = build(routers=12, targets=12)
    placement.refresh()
    before = dict(placement.shards)
    lost = [m.id for m in members.alive() if m.failure_domain == "a"]
    for member_id in lost:
        members.set_state(member_id, MemberState.DEAD)
    placement.refresh()
    owners = {s.owner for s in placement.shards.values() if s.pool.failure_domain == "a"}
    assert len(owners) > 1
    assert {members.get(owner).failure_domain for owner in owners} == {"b"}
    for member_id in lost:
        members.set_state(member_id, MemberState.ALIVE)
    placement.refresh()
    assert placement.shards == before


def test_pulls_include_the_shards_of_a_drained_domain():
    # Otherwise tickets queued in a drained domain would wait there until their deadline.
    table, _, placement = build()
    table.update_config(fleet_config({"w": 1.0}, drained="a"))
    names = placement.all_shard_names("draft", "v1")
    assert sorted(names) == sorted(placement.shards)
    assert set(placement.open_shard_names("draft", "v1")) < set(names)
    assert placement.all_shard_names("draft", "v2") == ()
