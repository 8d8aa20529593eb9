import { WorkKind } from 'hickoryrelay-contract/ClassOfWork';

import { ConfigurationCheck } from './ConfigurationCheck.js';
import { duplicatesOf } from './DuplicateNames.js';
import { CheckedEntry, FindingKind } from './Finding.js';

import type { Finding } from './Finding.js';
import type { ClassOfWorkDeclaration } from 'hickoryrelay-contract/ClassOfWork';
import type { DeclarationsDocument } from 'hickoryrelay-contract/Declarations';
import type { EndpointKind } from 'hickoryrelay-contract/EndpointKind';

/** The models or the route of a class, one of which an endpoint has to serve. */
function subjectsOf(classOfWork: ClassOfWorkDeclaration): readonly string[] {
  return classOfWork.kind === WorkKind.Model ? classOfWork.models : [classOfWork.route];
}

/** The models or routes that endpoints of a kind serve. */
function servedBy(kind: EndpointKind): readonly string[] {
  return kind.serves === WorkKind.Model ? kind.models : kind.routes;
}

/** Finds classes, or models of classes, that no kind of endpoint serves. */
export class UnservedClassCheck extends ConfigurationCheck<DeclarationsDocument> {
  override *find({ classes, endpointKinds }: DeclarationsDocument): Generator<Finding, void, void> {
    for (const classOfWork of classes) {
      const served = new Set(
        endpointKinds.filter(({ serves }) => serves === classOfWork.kind).flatMap(servedBy),
      );
      const subjects = subjectsOf(classOfWork);
      const unserved = subjects.filter((subject) => !served.has(subject));
      const entry = new CheckedEntry('class', classOfWork.name);
      const list = unserved.join(', ');
      if (unserved.length === subjects.length) {
        yield entry.error(FindingKind.Unreachable, `no kind of endpoint serves ${list}`);
      } else if (unserved.length > 0) {
        yield entry.warning(FindingKind.Unused, `no kind of endpoint serves ${list}`);
      }
    }
  }
}

/** Finds classes that no account may use and that are not open to all. */
export class UnusedClassCheck extends ConfigurationCheck<DeclarationsDocument> {
  override *find({ classes, accounts }: DeclarationsDocument): Generator<Finding, void, void> {
    const used = new Set(accounts.flatMap((account) => account.classes));
    for (const classOfWork of classes) {
      const isOpen = classOfWork.kind === WorkKind.Service && classOfWork.open;
      if (!isOpen && !used.has(classOfWork.name)) {
        const entry = new CheckedEntry('class', classOfWork.name);
        yield entry.warning(FindingKind.Unreachable, 'no account may use the class');
      }
    }
  }
}

/** Finds kinds of endpoints, and models and routes of them, that no class uses. */
export class UnusedEndpointKindCheck extends ConfigurationCheck<DeclarationsDocument> {
  override *find({ classes, endpointKinds }: DeclarationsDocument): Generator<Finding, void, void> {
    for (const kind of endpointKinds) {
      const entry = new CheckedEntry('endpoint-kind', kind.name);
      const used = new Set(
        classes.filter((each) => each.kind === kind.serves).flatMap((each) => subjectsOf(each)),
      );
      const served = servedBy(kind);
      const unused = served.filter((subject) => !used.has(subject));
      if (unused.length === served.length) {
        yield entry.warning(FindingKind.Unused, 'no class uses what the kind serves');
      } else if (unused.length > 0) {
        yield entry.warning(FindingKind.Unused, `no class uses ${unused.join(', ')}`);
      }
      const ignored = kind.serves === WorkKind.Model ? kind.routes : kind.models;
      if (ignored.length > 0) {
        const message = `serves a ${kind.serves}, so ${ignored.join(', ')} has no effect`;
        yield entry.warning(FindingKind.Unused, message);
      }
    }
  }
}

/**
 * Finds accounts whose callers are all refused. An account that leaves its keys out keeps the stored
 * ones, which are known only if the declarations were merged with those in force.
 */
export class AccountCheck extends ConfigurationCheck<DeclarationsDocument> {
  override *find({ accounts }: DeclarationsDocument): Generator<Finding, void, void> {
    for (const account of accounts) {
      const entry = new CheckedEntry('account', account.name);
      if (account.keys?.every(({ withdrawn }) => withdrawn) === true) {
        yield entry.warning(FindingKind.Unreachable, 'the account has no valid key');
      }
      for (const name of duplicatesOf(account.classes)) {
        yield entry.warning(FindingKind.Unused, `class ${name} is listed more than once`);
      }
    }
  }
}

/** Finds targets of classes that contradict each other or have no effect. */
export class TargetCheck extends ConfigurationCheck<DeclarationsDocument> {
  override *find({ classes }: DeclarationsDocument): Generator<Finding, void, void> {
    for (const classOfWork of classes) {
      const entry = new CheckedEntry('class', classOfWork.name);
      const { firstTokenMilliseconds, betweenTokensMilliseconds, completionMilliseconds } =
        classOfWork.targets.lateness;
      const tokenTargets = { firstTokenMilliseconds, betweenTokensMilliseconds };
      for (const [field, target] of Object.entries(tokenTargets)) {
        if (target !== undefined && classOfWork.kind === WorkKind.Service) {
          yield entry.warning(FindingKind.Unused, `${field} has no effect for a service`);
        } else if (target !== undefined && target > (completionMilliseconds ?? target)) {
          const limit = `completionMilliseconds of ${completionMilliseconds}`;
          yield entry.warning(FindingKind.Contradiction, `${field} of ${target} is above ${limit}`);
        }
      }
    }
  }
}

/** Finds kinds of endpoints of which the budget does not allow one. */
export class BudgetCheck extends ConfigurationCheck<DeclarationsDocument> {
  override *find({ budget, endpointKinds }: DeclarationsDocument): Generator<Finding, void, void> {
    for (const { name, costPerHour } of endpointKinds) {
      if (costPerHour > budget.costPerHour) {
        yield new CheckedEntry('endpoint-kind', name).error(
          FindingKind.Contradiction,
          `costPerHour of ${costPerHour} is above the budget of ${budget.costPerHour}`,
        );
      }
    }
  }
}

/** All checks of declarations. */
export const DECLARATIONS_CHECKS: readonly ConfigurationCheck<DeclarationsDocument>[] = [
  new UnservedClassCheck(),
  new UnusedClassCheck(),
  new UnusedEndpointKindCheck(),
  new AccountCheck(),
  new TargetCheck(),
  new BudgetCheck(),
];
