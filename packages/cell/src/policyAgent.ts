import { Failure } from '@citronnotch/base/errors'
import { Err } from '@citronnotch/base/result'
import type { Result } from '@citronnotch/base/result'
import type { AdviceAgent } from './advice.js'
import type { Approvals, PolicyService } from './ports.js'

/** This daemon as an agent: calls the placement policy service itself, and knows how many of its calls are pending. */
export class PolicyAgent implements AdviceAgent {
  private pending = 0

  private constructor (readonly name: string, private readonly service: PolicyService | undefined) {}

  /** `service` is undefined if the deployment has none. */
  static create (name: string, service: PolicyService | undefined): PolicyAgent {
    return new PolicyAgent(name, service)
  }

  /** Number of calls without an answer yet; the service handles one at a time. */
  pendingCalls (): number {
    return this.pending
  }

  async approve (step: string, workerIds: readonly string[], timeoutMs: number): Promise<Result<Approvals, Failure>> {
    if (this.service === undefined) return Err(Failure.notRun('no-policy-service', 'No placement policy service is set.'))
    this.pending++
    try {
      return await this.service.approve(step, workerIds, timeoutMs)
    } finally {
      this.pending--
    }
  }
}
