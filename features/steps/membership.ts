/**
 * Steps that change the membership of a cell's controllers.
 */

import assert from 'node:assert/strict'
import { create } from '@bufbuild/protobuf'
import { Then, When } from '@cucumber/cucumber'
import { toFailure } from '@flamingorouter/scheduler'
import {
  AddMemberRequestSchema, ListAuditRequestSchema, ListMembersRequestSchema, OperatorService, RemoveMemberRequestSchema, type Member
} from '@flamingorouter/schema'
import { waitFor } from '../support/real-cell.js'
import type { CellWorld } from '../support/world.js'

const PROMOTION_TIMEOUT_MS = 15_000

async function listMembers (world: CellWorld): Promise<Member[]> {
  return (await world.call(OperatorService.method.listMembers, create(ListMembersRequestSchema))).members
}

async function findFollower (world: CellWorld): Promise<string> {
  const follower = (await listMembers(world)).find(({ leader }) => !leader)
  assert.ok(follower)
  return follower.id
}

async function removeMember (world: CellWorld, id: string): Promise<void> {
  await world.call(OperatorService.method.removeMember, create(RemoveMemberRequestSchema, { requestId: `remove-${id}`, id }))
}

When('a follower is killed and restarted with an empty data folder', async function (this: CellWorld) {
  this.wipedController = await findFollower(this)
  await this.cell.kill(this.wipedController)
  this.cell.removeDataFolder(this.wipedController)
  await this.cell.launch(this.wipedController)
})

Then('it does not acknowledge log entries', async function (this: CellWorld) {
  const leader = (await listMembers(this)).find(({ leader }) => leader)
  assert.ok(leader)
  const initialIndex = (await listMembers(this)).find(({ id }) => id === this.wipedController)?.matchIndex
  await new Promise(resolve => { setTimeout(resolve, 1_000) })
  const laterIndex = (await listMembers(this)).find(({ id }) => id === this.wipedController)?.matchIndex
  assert.equal(laterIndex, initialIndex, 'a controller with a new disk must not acknowledge log entries under its previous disk identity')
})

When('an operator removes it and adds {string} instead', async function (this: CellWorld, added: string) {
  await this.cell.kill(this.wipedController)
  const { zone } = this.cell.getProcess(this.wipedController)
  await removeMember(this, this.wipedController)
  const state = await this.cell.addController(Number(added.split('-')[1]))
  await this.cell.launch(added)
  await this.call(OperatorService.method.addMember, create(AddMemberRequestSchema, {
    requestId: `add-${added}`, id: added, address: `127.0.0.1:${state.port}`, availabilityZone: zone
  }))
})

Then('{string} becomes a voter', async function (this: CellWorld, id: string) {
  await waitFor(`${id} is a voter`, PROMOTION_TIMEOUT_MS, async () =>
    (await listMembers(this)).some(member => member.id === id && member.role === 'voter'))
})

Then('the removal of a follower is refused with a reason', async function (this: CellWorld) {
  const id = await findFollower(this)
  await assert.rejects(removeMember(this, id), thrown => {
    const failure = toFailure(thrown)
    return failure.kind === 'failedPrecondition' && failure.message.length > 0
  })
})

Then('the audit trail has the refused removal', async function (this: CellWorld) {
  const { entries } = await this.call(OperatorService.method.listAudit, create(ListAuditRequestSchema, { method: 'RemoveMember' }))
  assert.deepEqual(entries.map(({ actor, refusal }) => [actor, refusal]), [['feature', 'failedPrecondition']])
})
