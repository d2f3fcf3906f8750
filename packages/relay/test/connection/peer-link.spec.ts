/**
 * Datagrams over real sockets that no handler understands: a process must go on and still receive the others.
 */
import { createSocket } from 'node:dgram'
import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { createPeerLink, splitAddress } from '@wigeonlead/relay'
import { LoopbackUse, loopbackHost } from '../loopback.js'

const ANSWER_MILLISECONDS = 2000

const NOT_UNDERSTOOD: Array<{ name: string, text: string, isRefused: boolean }> = [
  { name: 'a method of a later build', text: '{"jsonrpc":"2.0","method":"later","params":{"vm":"vm-1"}}', isRefused: false },
  { name: 'an unknown method without parameters', text: '{"jsonrpc":"2.0","method":"later"}', isRefused: false },
  { name: 'parameters that the handler refuses', text: '{"jsonrpc":"2.0","method":"refusing"}', isRefused: true },
  { name: 'no JSON', text: '{"jsonrpc', isRefused: true },
  { name: 'null', text: 'null', isRefused: true },
  { name: 'a list with null', text: '[null]', isRefused: true },
  { name: 'an empty list', text: '[]', isRefused: false },
  { name: 'a number', text: '5', isRefused: false },
  { name: 'nothing', text: '', isRefused: true }
]

const links = suite('peer link')

for (const { name, text, isRefused } of NOT_UNDERSTOOD) {
  links(`a datagram with ${name}: the next one is handled`, async () => {
    const refusals: string[] = []
    const link = createPeerLink((_peer, reason) => { refusals.push(reason) })
    const unhandled: unknown[] = []
    const onUnhandled = (error: unknown): void => { unhandled.push(error) }
    process.on('unhandledRejection', onUnhandled)
    link.on('refusing', () => { throw new Error('malformed') })
    const isHandled = new Promise<boolean>(resolve => {
      link.on('known', () => resolve(true))
      setTimeout(() => resolve(false), ANSWER_MILLISECONDS).unref()
    })
    const sender = createSocket('udp4')
    const address = await openOnFreePort(link)
    const [host, port] = splitAddress(address)
    sender.send(text, port, host)
    sender.send('{"jsonrpc":"2.0","method":"known"}', port, host)
    assert.ok(await isHandled, 'the next datagram was not handled')
    await new Promise(resolve => { setImmediate(resolve) })
    process.removeListener('unhandledRejection', onUnhandled)
    sender.close()
    link.close()
    assert.equal(unhandled, [])
    assert.is(refusals.length, isRefused ? 1 : 0, refusals.join())
  })
}

const LONG_MESSAGES = [
  { name: 'fits into a datagram', characters: 50_000, mayBeSplit: false, isReceived: true },
  { name: 'exceeds a datagram and may not be split', characters: 70_000, mayBeSplit: false, isReceived: false },
  { name: 'exceeds a datagram and may be split', characters: 700_000, mayBeSplit: true, isReceived: true },
  { name: 'exceeds every limit', characters: 2_000_000, mayBeSplit: true, isReceived: false }
]
for (const { name, characters, mayBeSplit, isReceived } of LONG_MESSAGES) {
  links(`a notification that ${name} is ${isReceived ? 'received' : 'not sent, and that is reported'}`, async () => {
    const refusals: string[] = []
    const sender = createPeerLink((_peer, reason) => { refusals.push(reason) })
    const receiver = createPeerLink(() => {})
    await openOnFreePort(sender)
    const address = await openOnFreePort(receiver)
    const text = 'x'.repeat(characters)
    const keepAlive = setTimeout(() => {}, 10 * ANSWER_MILLISECONDS)
    const isHandled = new Promise<boolean>(resolve => {
      receiver.on('long', parameters => resolve((parameters as { text: string }).text === text))
      setTimeout(() => resolve(false), isReceived ? ANSWER_MILLISECONDS : 100)
    })
    sender.notify(address, 'long', { text }, { mayBeSplit })
    assert.is(await isHandled, isReceived)
    assert.is(refusals.length, isReceived ? 0 : 1)
    clearTimeout(keepAlive)
    sender.close()
    receiver.close()
  })
}

async function openOnFreePort (link: ReturnType<typeof createPeerLink>): Promise<string> {
  const probe = createSocket('udp4')
  const host = loopbackHost(LoopbackUse.Peers)
  await new Promise<void>(resolve => { probe.bind(0, host, resolve) })
  const address = `${host}:${probe.address().port}`
  await new Promise<void>(resolve => { probe.close(resolve) })
  await link.open(address)
  return address
}

links.run()
