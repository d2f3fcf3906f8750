/**
 * Guards against a part of a prompt, or a whole request, that crashes its targets, and against a quarantine of content that only met
 * ordinary losses. Each case is one pattern of losses and begins, on a paused clock.
 */
import * as assert from 'uvu/assert'
import { SubjectKind } from '@wigeonlead/relay'
import { playCases, type QuarantineCase, type Vm } from './quarantine-vm.js'

const MINUTES = 60_000

const CASES: QuarantineCase[] = [
  {
    name: 'three targets end under a new part: its requests are refused, others with the same first part are not',
    play (vm) {
      vm.begin('first')
      vm.lose(['first', 'bad'])
      assert.ok(vm.mayRepeat('first', 'bad'), 'one loss')
      vm.lose(['first', 'bad'])
      assert.not(vm.mayRepeat('first', 'bad'), 'two losses in a row')
      vm.begin('other')
      assert.not(vm.isRefused('first', 'bad'))
      vm.lose(['first', 'bad'])
      assert.ok(vm.isRefused('first', 'bad'))
      assert.not(vm.isRefused('first'))
      vm.begin('first')
      assert.ok(vm.isRefused('second', 'bad'), 'with another first part, once the first part has begun')
    }
  },
  {
    name: 'the parts beside it differ: only the part in common is refused',
    play (vm) {
      for (const first of ['a', 'b', 'c']) vm.lose([first, 'bad'])
      vm.begin('other')
      assert.ok(vm.isRefused('d', 'bad'))
      assert.not(vm.isRefused('a'))
    }
  },
  {
    name: 'sound requests wait at each target that ends: their first part is not refused',
    play (vm) {
      vm.begin('popular')
      for (const target of ['t1@1', 't2@1', 't3@1', 't4@1']) {
        vm.lose(['first', 'bad'], { target })
        vm.quarantine.recordLoss({ ...vm.request(`popular at ${target}`), parts: ['popular'] }, { incarnation: target, sentAt: performance.now() - 50, hasHead: false })
        vm.quarantine.recordLoss({ ...vm.request(`rare at ${target}`), parts: ['rare'] }, { incarnation: target, sentAt: performance.now() - 50, hasHead: false })
      }
      vm.begin('other')
      assert.ok(vm.isRefused('first', 'bad'))
      assert.not(vm.isRefused('popular'))
      assert.not(vm.isRefused('rare'))
    }
  },
  {
    name: 'a rack with five targets is lost at once, with requests of one part on each: not refused',
    play (vm) {
      vm.clock.tick(1000)
      for (let target = 0; target < 5; target++) vm.quarantine.recordLoss({ ...vm.request(`${target}`), parts: ['rare'] }, { incarnation: `r${target}@1`, sentAt: performance.now() - 300, hasHead: true })
      vm.begin('other')
      assert.not(vm.isRefused('rare'))
      assert.ok(vm.mayRepeat('rare'))
    }
  },
  {
    name: 'an answer with the part begins between losses: not refused',
    play (vm) {
      for (let loss = 0; loss < 8; loss++) {
        vm.lose(['rare'])
        if (loss % 2 === 1) vm.begin('rare')
        vm.begin('other')
      }
      assert.not(vm.isRefused('rare'))
    }
  },
  {
    name: 'a part that has begun before: refused after five losses',
    play (vm) {
      vm.begin('known')
      vm.begin('other')
      for (let loss = 0; loss < 4; loss++) vm.lose(['known'])
      vm.begin('other')
      assert.not(vm.isRefused('known'))
      vm.lose(['known'])
      assert.ok(vm.isRefused('known'))
    }
  },
  {
    name: 'targets end before they send anything: refused after five losses',
    play (vm) {
      for (let loss = 0; loss < 4; loss++) vm.lose(['bad'], { hasHead: false })
      vm.begin('other')
      assert.not(vm.isRefused('bad'))
      assert.not(vm.mayRepeat('bad'))
      vm.lose(['bad'], { hasHead: false })
      assert.ok(vm.isRefused('bad'))
    }
  },
  {
    name: 'nothing begins at all: the losses are those of the service, and nothing is refused',
    play (vm) {
      for (let loss = 0; loss < 6; loss++) vm.lose(['first'])
      assert.not(vm.isRefused('first'))
      vm.begin('other')
      assert.ok(vm.isRefused('first'))
    }
  },
  {
    name: 'several requests with the part lose one target: one loss',
    play (vm) {
      for (let request = 0; request < 4; request++) vm.lose(['rare', `own-${request}`], { target: 't1@1' })
      vm.begin('other')
      assert.ok(vm.mayRepeat('rare'))
    }
  },
  {
    name: 'ten minutes without a loss end the quarantine, and one more loss starts the next',
    play (vm) {
      for (let loss = 0; loss < 3; loss++) vm.lose(['bad'])
      vm.begin('other')
      vm.clock.tick(10 * MINUTES - 1)
      assert.ok(vm.isRefused('bad'))
      vm.clock.tick(1)
      assert.not(vm.isRefused('bad'))
      assert.is(vm.quarantine.quarantined().length, 0)
      assert.not(vm.mayRepeat('bad'))
      vm.lose(['bad'])
      assert.ok(vm.isRefused('bad'))
    }
  },
  {
    name: 'an answer begins after the end of a quarantine: the part is clear again',
    play (vm) {
      for (let loss = 0; loss < 3; loss++) vm.lose(['bad'])
      vm.begin('other')
      vm.clock.tick(10 * MINUTES)
      vm.begin('bad')
      for (let loss = 0; loss < 4; loss++) vm.lose(['bad'])
      assert.not(vm.isRefused('bad'))
    }
  },
  {
    name: 'another service: not refused',
    play (vm) {
      for (let loss = 0; loss < 3; loss++) vm.lose(['bad'])
      vm.begin('other')
      assert.is(vm.quarantine.find({ ...vm.request('any'), service: 'second', parts: ['bad'] }), undefined)
    }
  },
  {
    name: 'prompts of thousands of distinct parts: the evidence stays bounded',
    play (vm) {
      for (let request = 0; request < 200; request++) {
        vm.lose(Array.from({ length: 250 }, (_, index) => `p-${request}-${index}`))
        vm.begin(...Array.from({ length: 250 }, (_, index) => `q-${request}-${index}`))
      }
      assert.ok(partsTold(vm) <= 512)
      const losses = vm.quarantine.tell().flatMap(({ evidence }) => [...evidence.losses.values()])
      assert.ok(losses.every(({ companions }) => companions.length <= 24))
    }
  },
  {
    name: 'many sound requests wait at a target that ends: the evidence with headers is told first',
    play (vm) {
      vm.lose(['first', 'bad'], { target: 't1@1' })
      for (let request = 0; request < 100; request++) {
        vm.clock.tick(1)
        vm.quarantine.recordLoss({ ...vm.request(`${request}`), parts: [`p-${request}`] }, { incarnation: 't1@1', sentAt: performance.now() - 50, hasHead: false })
      }
      assert.ok(vm.quarantine.tell().slice(0, 2).some(({ subject }) => subject === 'bad'))
    }
  },
  {
    name: 'evidence against more parts than are held: a quarantine stays',
    play (vm) {
      for (let loss = 0; loss < 3; loss++) vm.lose(['bad'])
      vm.begin('other')
      for (let request = 0; request < 1000; request++) vm.lose([`p-${request}`])
      assert.ok(vm.isRefused('bad'))
      assert.ok(partsTold(vm) <= 512)
    }
  },
  {
    name: 'prompts without shared parts: no part is suspected, and no request that has lost a single target is refused',
    play (vm) {
      for (let loss = 0; loss < 6; loss++) vm.lose([])
      vm.begin()
      assert.is(partsTold(vm), 0)
      for (let request = 1; request <= 6; request++) assert.not(vm.isRequestRefused(`request-${request}`))
    }
  },
  {
    name: 'a request ends two targets alone, one after the other: refused for half a minute, and from the third end on for ten',
    play (vm) {
      vm.crash('t1@1', ['bad'])
      assert.ok(vm.quarantine.mayRepeat(vm.request('bad')), 'one loss')
      vm.answer('sound')
      vm.crash('t2@1', ['bad'])
      assert.not(vm.quarantine.mayRepeat(vm.request('bad')))
      assert.ok(vm.isRequestRefused('bad'))
      vm.clock.tick(30_000)
      assert.not(vm.isRequestRefused('bad'))
      assert.not(vm.quarantine.mayRepeat(vm.request('bad')))
      vm.crash('t3@1', ['bad'])
      vm.clock.tick(10 * MINUTES - 1)
      assert.ok(vm.isRequestRefused('bad'))
      vm.clock.tick(1)
      assert.not(vm.isRequestRefused('bad'))
    }
  },
  {
    name: 'two requests are at both targets that end: neither is refused, and neither is sent on by the VM that lost it',
    play (vm) {
      vm.crash('t1@1', ['bad', 'bystander'])
      vm.answer('sound')
      vm.crash('t2@1', ['bad', 'bystander'])
      for (const digest of ['bad', 'bystander']) {
        assert.not(vm.isRequestRefused(digest), digest)
        assert.not(vm.quarantine.mayRepeat(vm.request(digest)), digest)
      }
    }
  },
  {
    name: 'the third end has one of two requests at it: that one is refused, and explains the first two',
    play (vm) {
      vm.crash('t1@1', ['bad', 'bystander'])
      vm.answer('sound')
      vm.crash('t2@1', ['bystander', 'bad'])
      vm.crash('t3@1', ['bad'])
      assert.ok(vm.isRequestRefused('bad'))
      assert.not(vm.isRequestRefused('bystander'))
      assert.ok(vm.quarantine.mayRepeat(vm.request('bystander')))
    }
  },
  {
    name: 'one of two requests is answered: the other one is refused after their two common ends',
    play (vm) {
      vm.crash('t1@1', ['bad', 'bystander'])
      vm.answer('sound')
      vm.crash('t2@1', ['bad', 'bystander'])
      vm.answer('bystander')
      assert.ok(vm.isRequestRefused('bad'))
      assert.not(vm.quarantine.isSuspected(vm.request('bystander')))
    }
  },
  {
    name: 'a request is at three targets of a rack that ends at once: not refused',
    play (vm) {
      vm.clock.tick(1000)
      for (const target of ['t1@1', 't2@1', 't3@1']) {
        vm.quarantine.recordLoss(vm.request('popular'), { incarnation: target, sentAt: performance.now() - 300, hasHead: false })
      }
      vm.answer('sound')
      assert.not(vm.isRequestRefused('popular'))
      assert.ok(vm.quarantine.mayRepeat(vm.request('popular')))
    }
  },
  {
    name: 'a request is answered between its losses: not refused',
    play (vm) {
      for (let loss = 0; loss < 8; loss++) {
        vm.crash(`t${loss}@1`, ['unlucky'])
        vm.answer(loss % 2 === 0 ? 'sound' : 'unlucky')
      }
      vm.crash('t9@1', ['unlucky'])
      assert.not(vm.isRequestRefused('unlucky'))
    }
  },
  {
    name: 'no request of the service is answered: the losses are those of the service, and nothing is refused until one is',
    play (vm) {
      for (let loss = 0; loss < 5; loss++) vm.crash(`t${loss}@1`, ['bad'])
      assert.not(vm.isRequestRefused('bad'))
      vm.answer('sound')
      assert.ok(vm.isRequestRefused('bad'))
    }
  },
  {
    name: 'an operator lifts the quarantine of a request',
    play (vm) {
      for (let loss = 0; loss < 3; loss++) vm.crash(`t${loss}@1`, ['bad'])
      vm.answer('sound')
      assert.is(vm.quarantine.list()[0]?.subject, 'bad')
      assert.ok(vm.quarantine.lift(SubjectKind.Request, 'model', 'bad'))
      assert.not(vm.isRequestRefused('bad'))
      assert.is(vm.quarantine.list().length, 0)
    }
  },
  {
    name: 'a million distinct requests: only lost ones are held, and no more than the bound',
    play (vm) {
      for (let loss = 0; loss < 3; loss++) vm.crash(`t${loss}@1`, ['bad'])
      vm.answer('sound')
      for (let request = 0; request < 1000; request++) {
        vm.crash(`u${request}@1`, [`r-${request}`])
        vm.answer(`s-${request}`)
      }
      assert.ok(vm.isRequestRefused('bad'))
      assert.ok(vm.quarantine.tell().length <= 512)
    }
  }
]

function partsTold (vm: Vm): number {
  return vm.quarantine.tell().filter(({ kind }) => kind === SubjectKind.PromptPart).length
}

playCases('quarantine of content', CASES)
