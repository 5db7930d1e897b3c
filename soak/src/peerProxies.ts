import type { DaemonProcess } from '@citronnotch/platform/testing'
import { TcpProxy } from './proxy.js'

const POLL_MS = 20

/** Address from which the connections of a daemon come. */
export function sourceOf (daemonName: string): string {
  return `127.0.0.${10 + Number(daemonName.slice(1))}`
}

/**
 * Proxies in the place of the daemons' listeners for peers. Each accepts connections while its daemon runs and isn't among
 * the refused ones, and holds what is sent to and by its daemon while that is among the held ones.
 */
export class PeerProxies {
  readonly refused = new Set<DaemonProcess>()
  readonly held = new Set<DaemonProcess>()
  private readonly timer: NodeJS.Timeout

  private constructor (private readonly proxies: ReadonlyMap<DaemonProcess, TcpProxy>) {
    this.timer = setInterval(() => this.update(), POLL_MS)
  }

  /** `distance`: how far the ports are apart to which the daemons' listeners have moved. */
  static async create (daemons: readonly DaemonProcess[], distance: number): Promise<PeerProxies> {
    const proxies = new Map<DaemonProcess, TcpProxy>()
    for (const daemon of daemons) {
      const { peerPort } = daemon.settings
      proxies.set(daemon, await TcpProxy.create(`127.0.0.1:${peerPort + distance}`, peerPort))
    }
    return new PeerProxies(proxies)
  }

  /** Options with which Node.js moves a daemon's listener for peers and gives its connections a source. */
  static nodeArguments (from: number, to: number, source: string): readonly string[] {
    return ['--import', `${new URL('movePeerPort.js', import.meta.url).href}?from=${from}&to=${to}&source=${source}`]
  }

  close (): void {
    clearInterval(this.timer)
    for (const proxy of this.proxies.values()) proxy.close()
  }

  private update () {
    for (const [daemon, proxy] of this.proxies) {
      proxy.fault = this.held.has(daemon) ? 'hold' : 'none'
      if (daemon.isRunning() && !this.refused.has(daemon)) proxy.accept()
      else proxy.refuse()
    }
  }
}
