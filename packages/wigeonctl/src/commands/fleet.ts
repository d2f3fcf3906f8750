/**
 * `wigeonctl fleet`: shows the state of the relays of a fleet, read from their metrics listeners.
 */
import { callRelay } from '../relay-call.js'
import { ExitCode, type CommandOutput } from '../tool.js'

/** State of one relay, as its metrics show it. */
export interface RelayState {
  address: string
  /** Version of the configuration in force at the relay. */
  version: number
  /** Time since the relay last confirmed that this version is the newest one; infinite if it never has. */
  beliefAgeSeconds: number
  isCoordinator: boolean
  /** Whether the relay polls the store itself, instead of a peer. */
  isStoreFollower: boolean
  /** Era of the store that the relay knows; 0 where the store states none. */
  storeEra: number
  streamsUnderWay: number
  answered: number
  /** Refused requests by reason. */
  refused: Record<string, number>
}

type RelayResult = RelayState | { address: string, unreachable: string }

/** One line of the Prometheus text format. */
interface Sample {
  name: string
  labels: Record<string, string>
  value: number
}

/**
 * Maximum time since a relay last confirmed its version, seconds; it spans several poll intervals of the store. A relay that exceeds it is
 * stale: it receives updates neither from the store nor from peers.
 */
const MAX_BELIEF_AGE_SECONDS = 3
const METRIC_PREFIX = 'wigeonlead_'
/** Largest fleet whose relays are all listed. Of a larger one only the coordinator, the store followers and faulty relays are. */
const MAX_LISTED_RELAYS = 30

/**
 * Reads the metrics of relays. Returns exit code 1 when a relay can't be reached, has an older configuration version than another
 * relay, is stale or knows an earlier era of the store, or when there are several coordinators.
 * @param addresses `IP:PORT` of the metrics listeners.
 */
export async function fleetCommand (addresses: readonly string[]): Promise<CommandOutput> {
  const answers = await Promise.all(addresses.map(readRelay))
  const relays = answers.filter((answer): answer is RelayState => 'version' in answer)
  const newestVersion = Math.max(0, ...relays.map(({ version }) => version))
  const newestEra = Math.max(0, ...relays.map(({ storeEra }) => storeEra))
  const faults = [
    ...answers.flatMap(answer => 'unreachable' in answer ? [`${answer.address} could not be reached: ${answer.unreachable}`] : []),
    ...relays.filter(({ version }) => version < newestVersion).map(({ address, version }) => `${address} has version ${version}, not ${newestVersion}`),
    ...relays.filter(({ beliefAgeSeconds }) => !(beliefAgeSeconds <= MAX_BELIEF_AGE_SECONDS))
      .map(({ address, beliefAgeSeconds }) => `${address} last confirmed its version ${beliefAgeSeconds} s ago`),
    ...relays.filter(({ storeEra }) => storeEra < newestEra)
      .map(({ address, storeEra }) => `${address} knows era ${storeEra} of the store, not ${newestEra}`),
    ...(relays.filter(({ isCoordinator }) => isCoordinator).length > 1 ? ['several relays hold the coordinator\'s lease'] : [])
  ]
  const listed = relays.length <= MAX_LISTED_RELAYS
    ? relays
    : relays.filter(relay => relay.isCoordinator || relay.isStoreFollower || isFaulty(relay, newestVersion, newestEra))
  const text = [
    `version ${newestVersion}; ${relays.length} of ${addresses.length} relays answered`,
    ...(relays.length === 0 ? [] : [summarize(relays, newestEra)]),
    ...listed.map(describeRelay),
    ...faults
  ].join('\n')
  const code = faults.length === 0 && relays.length > 0 ? ExitCode.Success : ExitCode.Failed
  return { code, text, value: { version: newestVersion, relays, faults } }
}

function isFaulty ({ version, beliefAgeSeconds, storeEra }: RelayState, newestVersion: number, newestEra: number): boolean {
  return version < newestVersion || storeEra < newestEra || !(beliefAgeSeconds <= MAX_BELIEF_AGE_SECONDS)
}

function summarize (relays: readonly RelayState[], era: number): string {
  const refused = new Map<string, number>()
  for (const [reason, count] of relays.flatMap(relay => Object.entries(relay.refused))) {
    refused.set(reason, (refused.get(reason) ?? 0) + count)
  }
  const answered = relays.reduce((sum, relay) => sum + relay.answered, 0)
  const oldest = Math.max(...relays.map(({ beliefAgeSeconds }) => beliefAgeSeconds))
  return [
    ...(era === 0 ? [] : [`store era ${era}`]),
    `coordinator ${relays.find(({ isCoordinator }) => isCoordinator)?.address ?? 'none'}`,
    `${relays.filter(({ isStoreFollower }) => isStoreFollower).length} follow the store`,
    `oldest confirmation ${oldest.toFixed(1)} s ago`,
    `answered ${answered}`,
    `refused ${describeRefusals(Object.fromEntries(refused))}`
  ].join('; ')
}

function describeRefusals (refused: Record<string, number>): string {
  const counts = Object.entries(refused).sort((a, b) => b[1] - a[1]).map(([reason, count]) => `${reason} ${count}`)
  return counts.length === 0 ? 'none' : counts.join(', ')
}

async function readRelay (address: string): Promise<RelayResult> {
  try {
    return toRelayState(address, readSamples((await callRelay('GET', address, '/metrics')).text))
  } catch (error) {
    return { address, unreachable: (error as Error).message }
  }
}

function readSamples (text: string): Sample[] {
  return text.split('\n').flatMap(line => {
    const [, name, labels = '', value] = /^([a-z_]+)(\{.*\})? (\S+)$/.exec(line) ?? []
    if (name === undefined || !name.startsWith(METRIC_PREFIX)) return []
    const pairs = [...labels.matchAll(/([a-z_]+)=("(?:[^"\\]|\\.)*")/g)].map(([, key, quoted]) => [key!, JSON.parse(quoted!) as string])
    return [{ name: name.slice(METRIC_PREFIX.length), labels: Object.fromEntries(pairs) as Record<string, string>, value: Number(value) }]
  })
}

function toRelayState (address: string, samples: readonly Sample[]): RelayState {
  const samplesNamed = (name: string): Sample[] => samples.filter(sample => sample.name === name)
  const readGauge = (name: string): number => {
    const [sample] = samplesNamed(name)
    if (sample === undefined) throw new Error(`found no ${METRIC_PREFIX}${name}, wanted the metrics of a relay`)
    return sample.value
  }
  const refused: Record<string, number> = {}
  for (const { labels, value } of samplesNamed('requests_refused_total')) {
    const reason = labels.reason ?? 'unknown'
    refused[reason] = (refused[reason] ?? 0) + value
  }
  return {
    address,
    version: readGauge('configuration_version'),
    beliefAgeSeconds: readGauge('belief_age_seconds'),
    isCoordinator: readGauge('is_coordinator') === 1,
    // Relays of earlier versions state neither of these two.
    isStoreFollower: samplesNamed('follows_store')[0]?.value === 1,
    storeEra: samplesNamed('store_era')[0]?.value ?? 0,
    streamsUnderWay: readGauge('streams_under_way'),
    answered: samplesNamed('requests_answered_total').reduce((sum, { value }) => sum + value, 0),
    refused
  }
}

function describeRelay (relay: RelayState): string {
  const fields = [
    relay.address, `version ${relay.version}`, `confirmed ${relay.beliefAgeSeconds.toFixed(1)} s ago`, `${relay.streamsUnderWay} streams`,
    `answered ${relay.answered}`, `refused ${describeRefusals(relay.refused)}`
  ]
  return fields.concat(relay.isStoreFollower ? ['store follower'] : [], relay.isCoordinator ? ['coordinator'] : []).join('  ')
}
