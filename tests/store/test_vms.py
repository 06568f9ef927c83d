"""Guards against losses between the two encodings of the VM list, and against large patches."""

from dataclasses import replace

from jacinthcove.mesh.documents import VMS, Document
from jacinthcove.mesh.patches import decode_push, make_patch_push
from jacinthcove.store.vms import (
    Vm,
    VmList,
    VmRole,
    decode_vms,
    encode_vms,
    encode_vms_by_id,
)

VMS_HELD = tuple(
    Vm(f"t{i:03}", VmRole.TARGET, f"127.0.0.1:{9000 + i}", "a", "draft", "v1", i % 2 == 1)
    for i in range(200)
) + (
    Vm("r1", VmRole.ROUTER, "127.0.0.1:8000", "b", mesh_address="127.0.0.1:8001"),
)


def test_both_encodings_hold_the_same_list():
    vm_list = VmList(7, VMS_HELD)
    assert decode_vms(encode_vms(vm_list)) == vm_list
    by_id = decode_vms(encode_vms_by_id(vm_list))
    assert by_id.revision == 7
    assert sorted(by_id.vms, key=lambda vm: vm.id) == sorted(VMS_HELD, key=lambda vm: vm.id)


def test_the_order_of_the_platform_does_not_change_the_document():
    # Two watchers that saw the entries in another order must offer the same body.
    turned = VmList(7, tuple(reversed(VMS_HELD)))
    assert encode_vms_by_id(VmList(7, VMS_HELD)) == encode_vms_by_id(turned)


def test_the_patch_of_one_vm_has_the_size_of_one_vm():
    # As an array, the removal of a VM made a patch as large as the list (1.4 MB at 13,000 VMs).
    old = encode_vms_by_id(VmList(1, VMS_HELD))
    added = Vm("t200", VmRole.TARGET, "127.0.0.1:9200", "a", "draft", "v1")
    for vms in (
        VMS_HELD[:3] + VMS_HELD[4:],
        (replace(VMS_HELD[0], leaving=True), *VMS_HELD[1:]),
        (*VMS_HELD, added),
    ):
        body = encode_vms_by_id(VmList(2, vms))
        push = make_patch_push(Document(VMS, 2, body), 1, old)
        assert push is not None
        assert push.ByteSize() < 500
        assert decode_push(push, old).body == body


def test_the_same_body_is_decoded_once():
    # Two parts of a router decode each list, 30 ms or more of processor time at the design size.
    body = encode_vms_by_id(VmList(7, VMS_HELD))
    assert decode_vms(body) is decode_vms(bytes(bytearray(body)))
    assert decode_vms(encode_vms_by_id(VmList(8, VMS_HELD))).revision == 8
