/** Typed access to the generated validators. */
import type * as apiTypes from './generated/api.js';
import type * as declarationTypes from './generated/declarations.js';
import type * as engineTypes from './generated/engine.js';
import type * as platformTypes from './generated/platform.js';
import type * as settingTypes from './generated/settings.js';
import type * as wireTypes from './generated/wire.js';
import * as api from './generated/api-validators.js';
import * as declarations from './generated/declarations-validators.js';
import * as engine from './generated/engine-validators.js';
import * as platform from './generated/platform-validators.js';
import * as settings from './generated/settings-validators.js';
import * as wire from './generated/wire-validators.js';

/** A validation error in the form of Ajv's error objects. */
export interface ValidationIssue {
  /** JSON pointer to the value. */
  instancePath: string;
  keyword: string;
  message?: string;
  params: Record<string, unknown>;
}

/** A type guard; `errors` has the errors of the last call that returned false. */
export interface Validator<T> {
  (value: unknown): value is T;
  errors?: ValidationIssue[] | null;
}

const typed = <T>(validator: unknown) => validator as Validator<T>;

/** Validators by schema definition. They set absent properties to their defaults. */
export const validators = {
  message: typed<wireTypes.Message>(wire.validateMessage),
  declarations: typed<declarationTypes.Declarations>(declarations.validateDeclarations),
  revisionRecord: typed<declarationTypes.RevisionRecord>(declarations.validateRevisionRecord),
  configState: typed<declarationTypes.ConfigState>(declarations.validateConfigState),
  command: typed<declarationTypes.Command>(declarations.validateCommand),
  commandRecord: typed<declarationTypes.CommandRecord>(declarations.validateCommandRecord),
  outcome: typed<declarationTypes.Outcome>(declarations.validateOutcome),
  plan: typed<declarationTypes.Plan>(declarations.validatePlan),
  drainOperation: typed<declarationTypes.DrainOperation>(declarations.validateDrainOperation),
  pinOperation: typed<declarationTypes.PinOperation>(declarations.validatePinOperation),
  transaction: typed<platformTypes.Transaction>(platform.validateTransaction),
  row: typed<platformTypes.Row>(platform.validateRow),
  rows: typed<platformTypes.Rows>(platform.validateRows),
  callRecord: typed<platformTypes.CallRecord>(platform.validateCallRecord),
  usageBatch: typed<platformTypes.UsageBatch>(platform.validateUsageBatch),
  poisonRecord: typed<platformTypes.PoisonRecord>(platform.validatePoisonRecord),
  vmList: typed<platformTypes.VmList>(platform.validateVmList),
  vm: typed<platformTypes.Vm>(platform.validateVm),
  engineOp: typed<engineTypes.EngineOp>(engine.validateEngineOp),
  engineOut: typed<engineTypes.EngineOut>(engine.validateEngineOut),
  engineStatus: typed<engineTypes.EngineStatus>(engine.validateEngineStatus),
  engineOrder: typed<engineTypes.EngineOrder>(engine.validateEngineOrder),
  kvExport: typed<engineTypes.KvExport>(engine.validateKvExport),
  entrySettings: typed<settingTypes.EntrySettings>(settings.validateEntrySettings),
  agentSettings: typed<settingTypes.AgentSettings>(settings.validateAgentSettings),
  chatRequest: typed<apiTypes.ChatRequest>(api.validateChatRequest),
};
